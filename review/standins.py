"""Stand-ins for the scripts of this review: store, leafs, balancer, clients.

Only the standard library is used. All of them run in the process of a script
and serve real connections on loopback addresses. They follow PROTOCOL.md; the
daemons are separate processes, started with the command of deploy/system.toml
and the settings of deploy/daemon.toml.template.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, FAILED = 0, 1, 2

# The bounds of a small deployment, as in its settings.
STABLE_WINDOW_S = 4.0
DRAIN_S = 3.0
GRACE_S = 6.0
CONFIG_APPLY_S = 3.0
RECOVER_S = 12.0
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
BUDGET_WINDOW_S, RETRY_RATIO, BUDGET_EXTRA = 10, 0.2, 54

START_S = time.monotonic()


class CannotRun(Exception):
    """The case could not run."""


def now():
    """Return the seconds since the script started."""
    return time.monotonic() - START_S


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text, show=False):
        line = f"{now():8.3f} {text}"
        print(line, file=self._file, flush=True)
        if show:
            print(line, flush=True)


# Addresses


def own_network():
    """Return a random prefix of three bytes within 127.0.0.0/8."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


def free_port(host="127.0.0.1"):
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# HTTP


async def read_head(reader):
    """Return the first line and the headers (names in lower case) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_reply(status, headers, body):
    """Return a complete reply with its length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# The platform's store


class Store:
    """Keep objects by kind and name; serve list and watch calls.

    The spec of an object is JSON text, as the writer sent it.
    """

    def __init__(self, record):
        self.revision = 100
        self.era = 1
        self.objects = {}
        self._history = []
        # The history after this revision is still there.
        self._history_start = self.revision
        self._record = record
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def put(self, kind, name, spec):
        """Write an object; ``spec`` is a value, or JSON text as bytes."""
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        stored = (name, self.revision, text)
        self.objects[kind, name] = stored
        self._add(kind, stored, False)

    def delete(self, kind, name):
        """Remove an object if it exists."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._add(kind, (name, self.revision, stored[2]), True)

    def _add(self, kind, stored, deleted):
        self._history.append((self.revision, kind, stored, deleted, now()))
        self._changed.set()
        self._changed = asyncio.Event()

    def _forget(self):
        """Discard the history that is older than ``HISTORY_S``."""
        while self._history and self._history[0][4] < now() - HISTORY_S:
            self._history_start = self._history.pop(0)[0]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                url = urllib.parse.urlsplit(head[0].split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                status, body = await self._answer(url.path, query)
                writer.write(
                    encode_reply(
                        status,
                        {
                            "Content-Type": "application/json",
                            "Store-Era": self.era,
                        },
                        body,
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path, query):
        kind = path.removeprefix("/v1/objects/")
        if "watch" in query:
            return await self._watch(kind, query)
        after = query.get("after", "")
        items = [
            _object_text(stored)
            for (of_kind, name), stored in sorted(self.objects.items())
            if of_kind == kind and name > after
        ]
        more = b"true" if len(items) > 500 else b"false"
        return 200, b'{"items":[%s],"more":%s,"store-revision":%d}' % (
            b",".join(items[:500]),
            more,
            self.revision,
        )

    async def _watch(self, kind, query):
        after = int(query["watch"])
        self._forget()
        if not self._history_start <= after <= self.revision:
            return 410, b"{}"
        end_s = now() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changed = self._changed
            events = [
                b'{"object":%s,"deleted":%s}'
                % (_object_text(stored), b"true" if deleted else b"false")
                for revision, of_kind, stored, deleted, _ in self._history
                if of_kind == kind and revision > after
            ]
            left_s = end_s - now()
            if events or left_s <= 0:
                return 200, b'{"events":[%s],"store-revision":%d}' % (
                    b",".join(events),
                    self.revision,
                )
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


def _object_text(stored):
    name, revision, spec = stored
    meta = {
        "name": name,
        "revision": revision,
        "created": revision,
        "finalizers": [],
        "deleting": False,
    }
    return b'{"meta":%s,"spec":%s,"status":null}' % (
        json.dumps(meta).encode(),
        spec,
    )


# The operator


def route(name, host, prefix, **fields):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": host,
        "path-prefix": prefix,
        "kind": "idempotent",
        "timeout-ms": 3000,
        "latency-goal-ms": 535,
        "priority": 2,
        "max-attempts": 2,
        **fields,
    }


def configuration(version, routes, services, **limits):
    """Return a version of the configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 96,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
            **limits,
        },
    }


# Leafs


class Arrival:
    """One request that reached a leaf."""

    def __init__(self, leaf, head, headers, body):
        self.leaf = leaf
        self.at_s = now()
        self.method, self.target, _ = head.split()
        self.headers = headers
        self.body = body
        self.id = headers.get("request-id", "")
        self.ran = False


class Leaf:
    """A leaf that registers itself and answers requests.

    ``work`` is a coroutine function that takes the arrival and returns status,
    headers and body. It may raise ``Crash``.
    """

    sequence = 0

    def __init__(self, store, service, zone, work, record, slots=2):
        self.store = store
        self.service = service
        self.zone = zone
        self.work = work
        self.record = record
        self.slots = slots
        self.id = ""
        self.address = ""
        self.arrivals = []
        # The share of its answers that it sends once more, and how much later.
        self.extra_ratio = 0.0
        self.extra_after_s = 0.0
        # The share of its answers that have a body without end, in chunks.
        self.endless_ratio = 0.0
        self.endless_chunk = b"1\r\nz\r\n"
        # When the store acknowledged that the leaf is draining.
        self.leaving_s = None
        self._writers = set()
        self._server = None

    async def start(self, host):
        """Listen and register under a new id."""
        Leaf.sequence += 1
        self.id = f"i-{Leaf.sequence:04x}{random.getrandbits(16):04x}"
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "max-concurrency": self.slots,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.store.put("servers", self.id, self.entry)
        self.record(f"leaf {self.id} of {self.service} serves {self.address}")

    async def leave(self, linger_s):
        """Report draining; serve for drain-ms and a little longer; exit."""
        self.entry = {**self.entry, "state": "draining"}
        self.entry["seq"] += 1
        self.store.put("servers", self.id, self.entry)
        self.leaving_s = now()
        self.record(f"leaf {self.id} is draining, acknowledged", show=True)
        await asyncio.sleep(DRAIN_S + linger_s)
        self.store.delete("servers", self.id)
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        self.record(f"leaf {self.id} has left")

    def crash(self):
        """Close the listener and reset all connections, as a dead process.

        The entry is removed after three heartbeat intervals of silence.
        """
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        gone = self.id
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.delete, "servers", gone
        )

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = b""
                if length := int(headers.get("content-length", 0)):
                    body = await reader.readexactly(length)
                reply = await self._answer(first, headers, body)
                if reply is None:
                    return
                if random.random() < self.endless_ratio:
                    await self._send_endless(writer, headers)
                writer.write(reply)
                if random.random() < self.extra_ratio:
                    asyncio.get_running_loop().call_later(
                        self.extra_after_s, self._send_extra, writer, reply
                    )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send_endless(self, writer, headers):
        """Send a body without end, until the caller closes."""
        request_id = headers.get("request-id", "")
        self.record(f"endless body from {self.id} for {request_id}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (request_id.encode(), f"{self.id}.{request_id}".encode())
        )
        while True:
            writer.write(self.endless_chunk * 1000)
            await writer.drain()
            # The other stand-ins run in this process too.
            await asyncio.sleep(0.001)

    def _send_extra(self, writer, reply):
        """Send an answer once more if its connection is still open."""
        if writer in self._writers and not writer.is_closing():
            writer.write(reply)

    async def _answer(self, first, headers, body):
        arrival = Arrival(self.id, first, headers, body)
        if headers.get("expect-instance", self.id) != self.id:
            return encode_reply(421, {"Instance-Id": self.id}, b"")
        if arrival.target == "/health":
            return encode_reply(200, {"Instance-Id": self.id}, b"")
        self.arrivals.append(arrival)
        self.record(
            f"arrived {arrival.id} at {self.id} of {self.service}: "
            f"{arrival.method} {arrival.target} {len(body)} bytes, "
            f"deadline {headers.get('deadline-ms')}"
        )
        result = await self.work(self, arrival)
        if result is None:
            return None
        status, extra, reply_body = result
        if arrival.ran:
            self.record(f"run {arrival.id} by {self.id}: {status}")
            extra = {
                "Server-Stamp": f"{self.id}.{arrival.id}",
                **extra,
            }
        if self.leaving_s is not None:
            extra = {"Server-Leaving": 1, **extra}
        return encode_reply(
            status, {"Request-Id": arrival.id, **extra}, reply_body
        )


async def quick_work(leaf, arrival):
    """Run a request in a few milliseconds."""
    arrival.ran = True
    await asyncio.sleep(0.005)
    return 200, {}, b"the bytes of " + leaf.service.encode()


# Daemons


class Daemon:
    """A daemon process, with the settings of a machine."""

    def __init__(self, folder, name, ip, zone, store, seeds=None, port=None):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.control = f"{ip}:{port or free_port(ip)}"
        self._folder = pathlib.Path(folder)
        self._store = store
        self.seeds = seeds if seeds is not None else [self.control]
        self.process = None
        self.starts = 0
        # Rotation of the balancer.
        self.misses = 2

    def settings(self):
        """Return the fields that the platform gives to a process."""
        return {
            "node-name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "seed-addrs": self.seeds,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "limits": {"cpu-share": 0.537, "cpu-cores": 2},
            "contract-params": {
                "grace-s": int(GRACE_S),
                "retry-ratio": RETRY_RATIO,
                "budget-window-s": BUDGET_WINDOW_S,
                "budget-extra": BUDGET_EXTRA,
            },
            "platform": {"address": self._store.address},
        }

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        template = (ROOT / role["template"]).read_text()
        config = self._folder / f"{self.name}.toml"
        config.write_text(fill(template, self.settings()))
        words = role["run"].split()
        words[-1] = str(config)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.starts += 1
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def is_ready(self):
        """Ask once, as the balancer does."""
        try:
            status, _, _ = await asyncio.wait_for(
                one_request(self.ready, "GET", "/v1/ready", {}), 1.0
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, timeout_s=15.0):
        """Wait until the daemon is ready."""
        end_s = now() + timeout_s
        while now() < end_s:
            if await self.is_ready():
                self.misses = 0
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready after {timeout_s} s")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self):
        """Return what the daemon has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


def fill(template, fields):
    """Fill in the placeholders ``{{a.b}}`` and ``{{a.b|json}}``."""

    def value_of(match):
        path, _, form = match.group(1).partition("|")
        value = fields
        for key in path.split("."):
            value = value[key]
        if form == "json":
            return json.dumps(value)
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", value_of, template)


class Balancer:
    """Ask each daemon once a second; choose one for each new connection."""

    def __init__(self, daemons, record):
        self.daemons = daemons
        self._record = record

    async def run(self):
        while True:
            await asyncio.gather(*(self._check(each) for each in self.daemons))
            await asyncio.sleep(1.0)

    async def _check(self, daemon):
        if await daemon.is_ready():
            daemon.misses = 0
            return
        daemon.misses += 1
        if daemon.misses == 2:
            self._record(f"balancer: {daemon.name} is out of rotation")

    def choose(self, zone, key):
        """Return the daemon for a new connection of a client."""
        own = [each for each in self.daemons if each.zone == zone]
        rotation = [each for each in own if each.misses < 2]
        if not rotation:
            rotation = [each for each in self.daemons if each.misses < 2]
            rotation = rotation or own
        elif 2 * len(rotation) < len(own):
            rotation = own
        return rotation[key % len(rotation)]


# Clients


class Connection:
    """A client's connection to a daemon."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    async def open(self):
        host, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def request(self, method, target, headers, body=b""):
        """Return status, headers and body; raise OSError if it ends early."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        first, reply_headers = head
        length = int(reply_headers.get("content-length", 0))
        try:
            reply_body = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the answer is not complete") from error
        return int(first.split()[1]), reply_headers, reply_body

    def close(self):
        if self._writer is not None:
            self._writer.close()


async def one_request(address, method, target, headers, body=b""):
    """Send one request on a new connection."""
    connection = Connection(address)
    try:
        await connection.open()
        return await connection.request(
            method, target, {"Host": "x", **headers}, body
        )
    finally:
        connection.close()


def new_id():
    """Return a new request id."""
    return f"{random.getrandbits(64):016x}"


# Scripts


def run_script(folder, main):
    """Run a script; exit with 0 if the rule held, 1 if not, 2 otherwise.

    ``main`` takes the record, a temporary folder and a list to which it adds
    its daemons, and returns HELD or BROKEN.
    """
    record = Record(folder)
    daemons = []
    temporary = tempfile.mkdtemp(prefix="review-")

    async def run():
        task = asyncio.ensure_future(main(record, temporary, daemons))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 115.0)
        finally:
            for daemon in daemons:
                if daemon.process is not None:
                    daemon.signal(signal.SIGCONT)
                    daemon.signal(signal.SIGKILL)
                    await daemon.process.wait()

    code = FAILED
    try:
        code = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}", show=True)
    except Exception as error:
        record(f"the case could not run: {error!r}", show=True)
        raise
    finally:
        logs = "".join(
            f"\n== log of {each.name}\n{each.log()}"
            for each in daemons
            if each.process is not None
        )
        if os.environ.get("KEEP_LOGS"):
            (pathlib.Path(folder) / "daemons.log").write_text(logs)
        shutil.rmtree(temporary, ignore_errors=True)
        words = {HELD: "the rule held", BROKEN: "the rule is broken"}
        record(f"exit {code}: {words.get(code, 'not run')}", show=True)
        sys.exit(code)
