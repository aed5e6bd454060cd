"""Tests of the object API: the fake, and the HTTP client with the stand-in.

Most cases run on both implementations.
"""

import contextlib
import functools
import socket
import typing
from collections import abc

import httpx
import result
import testtools
import trio

from plantainhook import (
    clock,
    errors,
    objectapi,
    objectapifake,
    objectapihttp,
    standin_platform,
)
from tests import virtualtime

TIMEOUT_S: typing.Final = 2.0
Case = abc.Callable[
    [objectapi.ObjectApi, objectapifake.FakeObjectApi], abc.Awaitable[None]
]


@contextlib.asynccontextmanager
async def http_client(
    fake: objectapifake.FakeObjectApi,
    calls_per_s: float = 1000.0,
    token: str = "",
) -> abc.AsyncIterator[objectapihttp.HttpObjectApi]:
    """Open a client that calls the stand-in within this process."""
    app = standin_platform.build_app(fake, "secret-token" if token else "")
    transport = httpx.ASGITransport(app=typing.cast(typing.Any, app))
    async with objectapihttp.open_object_api(
        "http://standin",
        token,
        TIMEOUT_S,
        calls_per_s,
        clock.TrioClock(),
        transport,
    ) as api:
        yield api


class BothApisTest(testtools.TestCase):
    """Run cases on the fake and on the HTTP client with the stand-in."""

    def run_both(self, case: Case) -> None:
        """Run a case on each implementation, with separate stores."""

        async def on_http() -> None:
            fake = objectapifake.FakeObjectApi()
            async with http_client(fake) as api:
                await case(api, fake)

        self.run_on_fake(case)
        virtualtime.run(on_http)

    def run_on_fake(self, case: Case) -> None:
        """Run a case on the fake alone, which reports lost replies at once."""
        fake = objectapifake.FakeObjectApi()
        virtualtime.run(functools.partial(case, fake, fake))

    def assert_error(
        self, kind: type[errors.ObjectApiError], outcome: typing.Any
    ) -> typing.Any:
        """Assert that an outcome is an error of a class and return it."""
        self.assertIsInstance(outcome, result.Err)
        self.assertIs(kind, type(outcome.err_value))
        return outcome.err_value

    def test_conditions(self) -> None:
        """Guard against writes that ignore their condition."""

        async def case(
            api: objectapi.ObjectApi, fake: objectapifake.FakeObjectApi
        ) -> None:
            made = (await api.put("a/b c", {"x": 1.5}, 0, "r1")).unwrap()
            again = await api.put("a/b c", {"x": 2}, 0, "r2")
            conflict = self.assert_error(errors.ObjectConflictError, again)
            self.assertEqual(made.version, conflict.current_version)
            self.assertEqual("r1", conflict.current_request_id)
            self.assertEqual(made, (await api.get("a/b c")).unwrap())
            late = await api.delete("a/b c", made.version + 1, "r3")
            self.assert_error(errors.ObjectConflictError, late)
            (await api.delete("a/b c", made.version, "r4")).unwrap()
            gone = await api.put("a/b c", {}, made.version, "r5")
            conflict = self.assert_error(errors.ObjectConflictError, gone)
            self.assertEqual(0, conflict.current_version)
            absent = await api.get("a/b c")
            self.assert_error(errors.ObjectNotFoundError, absent)

        self.run_both(case)

    def test_list_and_watch(self) -> None:
        """Guard against watches that miss a change or a deletion."""

        async def case(
            api: objectapi.ObjectApi, fake: objectapifake.FakeObjectApi
        ) -> None:
            first = (await api.put("p/1", 1, 0, "r1")).unwrap()
            (await api.put("q/1", 1, 0, "r2")).unwrap()
            listing = (await api.list("p/")).unwrap()
            self.assertEqual((first,), listing.objects)
            started_s = trio.current_time()
            none = (await api.watch("p/", listing.version, 5.0)).unwrap()
            self.assertEqual(0, len(none))
            self.assertEqual(5.0, trio.current_time() - started_s)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(api.delete, "p/1", first.version, "r3")
                seen = (await api.watch("p/", listing.version, 50.0)).unwrap()
            self.assertEqual(["p/1"], [change.key for change in seen])
            self.assertIsNone(seen[0].value)

        self.run_both(case)

    def test_outage_and_size(self) -> None:
        """Guard against failures without an error class of their own."""

        async def case(
            api: objectapi.ObjectApi, fake: objectapifake.FakeObjectApi
        ) -> None:
            large = "x" * objectapi.VALUE_LIMIT_BYTES
            outcome: typing.Any = await api.put("k", large, 0, "r1")
            self.assert_error(errors.ObjectTooLargeError, outcome)
            fake.faults.outage = True
            outcome = await api.get("k")
            self.assert_error(errors.ObjectApiUnavailableError, outcome)
            outcome = await api.put("k", 1, 0, "r2")
            self.assert_error(errors.ObjectApiUnavailableError, outcome)

        self.run_both(case)

    def test_lost_reply_is_resolved(self) -> None:
        """Guard against a write that takes effect twice after a lost reply."""

        async def case(
            api: objectapi.ObjectApi, fake: objectapifake.FakeObjectApi
        ) -> None:
            fake.store.log = []
            fake.faults.lost_replies_count = 1
            (await objectapi.write_resolved(api, "j", 6, 0, "r0")).unwrap()
            self.assertEqual({"put": 1, "get": 1}, fake.counters.calls)
            fake.faults.lost_replies_count = 1
            fake.faults.stale_reads_count = 1
            written = await objectapi.write_resolved(api, "k", 7, 0, "r1")
            self.assertEqual(2, written.unwrap().version)
            fake.faults.lost_requests_count = 2
            written = await objectapi.write_resolved(api, "k", 8, 2, "r2")
            self.assertEqual(8, written.unwrap().value)
            self.assertEqual(
                [6, 7, 8], [entry.value for entry in fake.store.log]
            )

        self.run_both(case)

    def test_replaced_write_stays_unknown(self) -> None:
        """Guard against reporting a write as refused although it took effect.

        Its reply is lost, and another write replaces the object before or
        after it is read back.
        """

        async def case(
            api: objectapi.ObjectApi,
            fake: objectapifake.FakeObjectApi,
            stale_reads_count: int,
            replaced_after_s: float,
        ) -> None:
            fake.faults.lost_replies_count = 1
            fake.faults.stale_reads_count = stale_reads_count
            fake.faults.delay_s = 0.1
            outcomes = []

            async def write() -> None:
                outcomes.append(
                    await objectapi.write_resolved(api, "k", 1, 0, "r1")
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                await fake.store.changed.wait()
                await trio.sleep(replaced_after_s)
                fake.store.write("k", b"2", "r2")
            self.assert_error(errors.ObjectOutcomeUnknownError, outcomes[0])

        self.run_both(
            functools.partial(case, stale_reads_count=0, replaced_after_s=0.0)
        )
        self.run_on_fake(
            functools.partial(case, stale_reads_count=1, replaced_after_s=0.12)
        )


class HttpClientTest(testtools.TestCase):
    """Check behaviour that only the HTTP client has."""

    def test_waits_for_retry_after(self) -> None:
        """Guard against calls that ignore Retry-After."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            fake.faults.calls_per_s = 2.0
            async with http_client(fake) as api:
                for number in range(6):
                    (await api.put(f"k/{number}", 1, 0, "r")).unwrap()
            self.assertEqual(2, fake.counters.limited_count)
            self.assertEqual(2.0, round(trio.current_time(), 3))

        virtualtime.run(main)

    def test_rate_limit(self) -> None:
        """Guard against a client that exceeds its rate limit."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            async with http_client(fake, calls_per_s=10.0) as api:
                started_s = trio.current_time()
                for _ in range(50):
                    await api.list("k")
                duration_s = trio.current_time() - started_s
            self.assertEqual(3.0, round(duration_s, 3))

        virtualtime.run(main)

    def test_timeout_of_a_read_and_a_write(self) -> None:
        """Guard against calls without a timeout."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            fake.faults.delay_s = 60.0
            async with http_client(fake) as api:
                started_s = trio.current_time()
                read = await api.get("k")
                wrote = await api.put("k", 1, 0, "r")
                duration_s = trio.current_time() - started_s
            self.assertEqual(2 * TIMEOUT_S, round(duration_s, 3))
            self.assertIsInstance(
                read.unwrap_err(), errors.ObjectApiUnavailableError
            )
            self.assertIsInstance(
                wrote.unwrap_err(), errors.ObjectOutcomeUnknownError
            )

        virtualtime.run(main)

    def check_unknown_outcome(self, status: int) -> None:
        """Check that a write answered with a status may have run."""

        async def main() -> None:
            transport = httpx.MockTransport(lambda _: httpx.Response(status))
            async with objectapihttp.open_object_api(
                "http://x", "", TIMEOUT_S, 9.0, clock.TrioClock(), transport
            ) as api:
                read = (await api.get("k")).unwrap_err()
                wrote = (await api.put("k", 1, 0, "r")).unwrap_err()
            self.assertIsInstance(read, errors.ObjectApiUnavailableError)
            self.assertIsInstance(wrote, errors.ObjectOutcomeUnknownError)

        virtualtime.run(main)

    def test_server_error(self) -> None:
        """Guard against reporting a write as refused that may have run."""
        self.check_unknown_outcome(502)

    def test_invalid_status(self) -> None:
        """Guard against a damaged reply that counts as a refused write."""
        for status in (0, 99, 600, 999):
            self.check_unknown_outcome(status)

    def test_token(self) -> None:
        """Guard against a token that is not sent or not checked."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            async with http_client(fake, token="secret-token") as api:
                (await api.put("k", 1, 0, "r")).unwrap()
            async with http_client(fake, token="other-token") as api:
                refused = (await api.get("k")).unwrap_err()
            self.assertIn("401", refused.detail)

        virtualtime.run(main)

    def test_admin_endpoints(self) -> None:
        """Guard against faults that cannot be set over HTTP."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            app = standin_platform.build_app(fake)
            transport = httpx.ASGITransport(app=typing.cast(typing.Any, app))
            async with httpx.AsyncClient(
                transport=transport, base_url="http://standin"
            ) as client:
                url = "/admin/faults"
                done = await client.put(url, json={"outage": True})
                self.assertEqual(200, done.status_code)
                self.assertEqual(
                    503, (await client.get("/v1/objects/k")).status_code
                )
                wrong = await client.put(url, json={"outage": "much"})
                self.assertEqual(400, wrong.status_code)
                counters = (await client.get("/admin/counters")).json()
                self.assertEqual({"get": 1}, counters["calls"])

        virtualtime.run(main)


class StandinServerTest(testtools.TestCase):
    """Check the stand-in on a local socket."""

    def test_calls_over_a_socket(self) -> None:
        """Guard against a stand-in that works only without a socket."""

        async def main() -> None:
            fake = objectapifake.FakeObjectApi()
            app = standin_platform.build_app(fake)
            listener = socket.create_server(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{listener.getsockname()[1]}"
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    standin_platform.serve,
                    app,
                    f"fd://{listener.detach()}",
                    stop.wait,
                )
                async with objectapihttp.open_object_api(
                    url, "", TIMEOUT_S, 1000.0, clock.TrioClock()
                ) as api:
                    made = (await api.put("k/é", "v", 0, "r")).unwrap()
                    self.assertEqual(made, (await api.get("k/é")).unwrap())
                    late = await api.put("k/é", "w", 0, "r2")
                    self.assertIsInstance(
                        late.unwrap_err(), errors.ObjectConflictError
                    )
                stop.set()

        trio.run(main)
