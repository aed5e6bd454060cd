"""Tests of peer links over the loopback interface, and of frames."""

import contextlib
import pathlib
import random
import tempfile
import typing
from collections import abc

import hypothesis
import result
import testtools
import trio
import trustme
from hypothesis import strategies

from plantainhook import (
    clock,
    errors,
    options,
    peerframes,
    peerlinks,
    peers,
    peertls,
    wire,
)

LIMIT_BYTES: typing.Final = 65_536


def hello(version: int = wire.PROTOCOL_VERSION) -> wire.HelloFrame:
    return wire.HelloFrame(
        version, 1, "daemon", "vm-1", "dc-1", "127.0.0.1:0", "127.0.0.1:1"
    )


def node(tls: peertls.TlsReloader | None = None) -> peerlinks.TcpPeerTransport:
    """Return a transport that echoes notices and never answers probes."""
    handlers = peers.Handlers()

    @handlers.register(wire.RevisionNotice)
    async def echo(
        sender: wire.HelloFrame, body: wire.RevisionNotice
    ) -> wire.AnyBody:
        return body

    @handlers.register(wire.Probe)
    async def hang(sender: wire.HelloFrame, body: wire.Probe) -> wire.AnyBody:
        await trio.sleep_forever()
        raise AssertionError

    return peerlinks.TcpPeerTransport(
        hello(),
        handlers,
        LIMIT_BYTES,
        clock.TrioClock(),
        random.Random(1),
        tls,
    )


@contextlib.asynccontextmanager
async def running(
    *nodes: peerlinks.TcpPeerTransport,
) -> abc.AsyncIterator[list[str]]:
    """Run transports and return their addresses."""
    async with trio.open_nursery() as nursery:
        yield [await nursery.start(each.run) for each in nodes]
        nursery.cancel_scope.cancel()


def tls_files(
    directory: pathlib.Path, authority: trustme.CA
) -> options.TlsOptions:
    """Write a certificate, its key and the certificate of the authority."""
    issued = authority.issue_cert("127.0.0.1")
    certificate = directory / "certificate.pem"
    certificate.write_bytes(issued.cert_chain_pems[0].bytes())
    issued.private_key_pem.write_to_path(str(directory / "key.pem"))
    authority.cert_pem.write_to_path(str(directory / "ca.pem"))
    return options.TlsOptions(
        certificate_file=certificate,
        key_file=directory / "key.pem",
        ca_file=directory / "ca.pem",
    )


class LinkTest(testtools.TestCase):
    """Check requests over the loopback interface."""

    def failure(self, reply: peers.Reply) -> errors.PeerError:
        self.assertIsInstance(reply, result.Err)
        return typing.cast(errors.PeerError, reply.err())

    def test_many_requests_share_writes(self) -> None:
        """Guard against interchanged replies and one write per message."""

        async def run() -> None:
            client, server = node(), node()
            replies: dict[int, peers.Reply] = {}

            async def ask(number: int) -> None:
                body = wire.RevisionNotice(number)
                replies[number] = await client.request(address, body, 5)

            async with running(client, server) as addresses:
                address = addresses[1]
                async with trio.open_nursery() as nursery:
                    for number in range(200):
                        nursery.start_soon(ask, number)
                queue = client._links[address, 0].queue
            self.assertLess(queue.write_count, 20)
            for number, reply in replies.items():
                self.assertEqual(wire.RevisionNotice(number), reply.ok())

        trio.run(run)

    def test_outcomes_of_failures(self) -> None:
        """Guard against ran=no for a request that was written."""

        async def run() -> None:
            client, server = node(), node()
            async with running(client, server) as (_, address):
                probe = wire.Probe([])
                late = await client.request(address, probe, 0.2)
                self.assertEqual(errors.Ran.MAYBE, self.failure(late).ran)
                unknown = await client.request(address, wire.Ack(), 5)
                self.assertEqual(errors.Ran.NO, self.failure(unknown).ran)
                unreachable = await client.request("127.0.0.1:1", probe, 5)
                self.assertEqual(errors.Ran.NO, self.failure(unreachable).ran)
                self.assertEqual("127.0.0.1:1", self.failure(unreachable).peer)

        trio.run(run)

    def test_link_lost_while_request_runs(self) -> None:
        """Guard against a request that hangs when its peer dies."""

        async def run() -> None:
            client, server = node(), node()
            async with running(client), trio.open_nursery() as nursery:
                address = await nursery.start(server.run)
                with trio.move_on_after(0.3):
                    await client.request(address, wire.Probe([]), 0.2)
                nursery.start_soon(self.cancel_soon, nursery)
                with trio.CancelScope(shield=True):
                    reply = await client.request(address, wire.Probe([]), 5)
                self.assertEqual(errors.Ran.MAYBE, self.failure(reply).ran)
                self.assertIn("lost", self.failure(reply).detail)

        trio.run(run)

    async def cancel_soon(self, nursery: trio.Nursery) -> None:
        await trio.sleep(0.1)
        nursery.cancel_scope.cancel()

    def test_first_frame(self) -> None:
        """Guard against bytes sent to a peer without a valid hello."""
        other = hello(version=99)
        cases = {
            "other version": wire.encode_frame(other),
            "no hello": wire.encode_frame(wire.RequestFrame(1, wire.Ack())),
            "too long": wire.FRAME_HEADER.pack(LIMIT_BYTES + 1),
            "garbage": b"GET / HTTP/1.1\r\n\r\n",
        }

        async def run() -> None:
            server = node()
            async with running(server) as (address,):
                host, port = peerlinks.split_address(address)
                for name, data in cases.items():
                    stream = await trio.open_tcp_stream(host, port)
                    await stream.send_all(data)
                    with contextlib.suppress(trio.BrokenResourceError):
                        received = await stream.receive_some(1)
                        self.assertEqual(b"", bytes(received), name)

        trio.run(run)

    def test_mutual_tls(self) -> None:
        """Guard against peers of another authority, and stale TLS files."""
        with (
            tempfile.TemporaryDirectory() as first,
            tempfile.TemporaryDirectory() as second,
        ):
            ours, theirs = trustme.CA(), trustme.CA()
            files = tls_files(pathlib.Path(first), ours)
            foreign = tls_files(pathlib.Path(second), theirs)
            reloader = peertls.TlsReloader(foreign)
            server = node(peertls.TlsReloader(files))
            client = node(reloader)
            body = wire.RevisionNotice(1)

            async def run() -> None:
                async with running(server, client) as (address, _):
                    refused = await client.request(address, body, 2)
                    self.failure(refused)
                    tls_files(pathlib.Path(second), ours)
                    self.assertTrue(reloader.reload())
                    await trio.sleep(0.2)
                    answered = await client.request(address, body, 2)
                    self.assertEqual(body, answered.ok())

            trio.run(run)


class FrameTest(testtools.TestCase):
    """Check the frame decoder with arbitrary input."""

    @hypothesis.given(strategies.lists(strategies.binary(max_size=64)))
    def test_any_bytes(self, chunks: list[bytes]) -> None:
        """Guard against exceptions caused by the bytes of a peer."""
        buffer = peerframes.FrameBuffer("peer", 128)
        for chunk in chunks:
            if isinstance(buffer.feed(chunk), result.Err):
                return

    @hypothesis.given(strategies.binary(max_size=128))
    def test_any_body(self, body: bytes) -> None:
        """Guard against exceptions caused by the body of a frame."""
        buffer = peerframes.FrameBuffer("peer", 128)
        fed = buffer.feed(wire.FRAME_HEADER.pack(len(body)) + body)
        for frame in fed.unwrap_or([]):
            self.assertNotEqual(b"", wire.encode_frame(frame))

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 2**63), max_size=8),
        strategies.integers(1, 40),
    )
    def test_split_anywhere(self, numbers: list[int], size: int) -> None:
        """Guard against frames that depend on how the bytes are split."""
        frames: list[wire.AnyFrame] = [
            wire.RequestFrame(number, wire.RevisionNotice(number))
            for number in numbers
        ]
        data = b"".join(wire.encode_frame(frame) for frame in frames)
        buffer = peerframes.FrameBuffer("peer", 128)
        found: list[wire.AnyFrame] = []
        for start in range(0, len(data), size):
            found += buffer.feed(data[start : start + size]).unwrap()
        self.assertEqual(frames, found)
