"""Stand-ins for the scripts of the second review, standard library only.

One process holds the platform's store, the leafs and the clients, as the
users' pages describe them. Daemons are started with the command and the
template of ``deploy/system.toml``, as processes of their own on loopback.
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
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STABLE_WINDOW_S = 4.0
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
HOST = "rig.example"
# The settings of a machine of kaarna-iono.
FIELDS = {
    "contract-params": {
        "budget-window-s": 10,
        "retry-ratio": 0.2,
        "budget-extra": 52,
        "grace-s": 6,
    },
    "limits": {
        "cpu-share": 0.537,
        "cpu-cores": 2,
        "memory-mb": 300,
        "max-fds": 4100,
    },
}


class NotRunError(Exception):
    """The case could not be run."""


def free_port():
    """Return a free port below those that outgoing connections are given."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self._file.close()


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode("latin-1")
    return lines[0].decode("latin-1"), headers


async def read_message(reader):
    """Return first line, headers and body of a message with a length."""
    head = await read_head(reader)
    if head is None:
        return None
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def reply(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serve connections on a loopback port until closed."""

    port = 0

    async def listen(self):
        self._writers = set()
        self._server = await asyncio.start_server(
            self._on_connection, "127.0.0.1", self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _on_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.CancelledError, OSError):
            # The script ends, or the other side has gone.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self, reset=False):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort() if reset else writer.close()


class Store(Server):
    """The platform's store: lists, watches and writes; sound."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object; ``spec`` is JSON text as its writer sent it."""
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known[1] == spec:
            return
        self.revision += 1
        self.objects[kind][name] = (self.revision, spec)
        self._note(kind, name, spec, False)

    def delete(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            self._note(kind, name, known[1], True)

    def _note(self, kind, name, spec, deleted):
        self.history.append((self.revision, kind, name, spec, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _object(name, revision, spec):
        meta = {"name": name, "revision": revision, "created": 1,
                "finalizers": [], "deleting": False}
        return (b'{"meta":' + json.dumps(meta).encode() + b',"spec":' + spec
                + b',"status":null}')

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, _, body = message
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            query = dict(urllib.parse.parse_qsl(query))
            parts = path.strip("/").split("/")
            if method == "GET" and "watch" in query:
                status, answer = await self._watch(parts[2], query)
            else:
                status, answer = self._call(method, parts, query, body)
            writer.write(reply(status, {"Store-Era": "1",
                                        "Content-Type": "application/json"},
                               answer))
            await writer.drain()

    async def _watch(self, kind, query):
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            events = [event for event in self.history
                      if event[0] > after and event[1] == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        parts = [b'{"object":' + self._object(name, revision, spec)
                 + b',"deleted":' + (b"true" if deleted else b"false") + b"}"
                 for revision, _, name, spec, deleted in events]
        return 200, (b'{"events":[' + b",".join(parts)
                     + b'],"store-revision":%d}' % self.revision)

    def _call(self, method, parts, query, body):
        kind = parts[2]
        known = self.objects.setdefault(kind, {})
        if method == "GET":
            names = [name for name in sorted(known)
                     if name > query.get("after", "")]
            items = [self._object(name, *known[name]) for name in names[:500]]
            more = b"true" if len(names) > 500 else b"false"
            return 200, (b'{"items":[' + b",".join(items) + b'],"more":' + more
                         + b',"store-revision":%d}' % self.revision)
        if method == "DELETE":
            if parts[3] not in known:
                return 404, b"{}"
            self.delete(kind, parts[3])
            return 200, b"{}"
        document = json.loads(body)
        name = document["meta"]["name"]
        if method == "POST" and name in known:
            return 409, b"{}"
        self.put(kind, name, document["spec"])
        return 200, b"{}"


class Leaf(Server):
    """One leaf; it registers itself and runs what it is sent.

    ``on_run`` may return "crash". ``runs`` lists what it began to run.
    """

    count = 0

    def __init__(self, rig, service, zone, work_s=0.02, slots=2, on_run=None):
        self.rig, self.service, self.zone = rig, service, zone
        self.work_s, self.slots = work_s, slots
        self.on_run = on_run or (lambda leaf, first, headers, body: None)
        self.is_up = False
        self._task = None

    async def start(self):
        Leaf.count += 1
        self.id = f"i-{Leaf.count:06x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._free = asyncio.Semaphore(self.slots)
        await self.listen()
        self.is_up = True
        self._task = asyncio.create_task(self._heartbeat(self.id))

    async def _heartbeat(self, leaf_id):
        while self.is_up and self.id == leaf_id:
            self.seq += 1
            self.rig.store.put("servers", leaf_id, {
                "service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "1",
                "max-concurrency": self.slots, "state": "ready",
                "warmup-left-ms": 0, "seq": self.seq, "born": self.born,
            })
            await asyncio.sleep(HEARTBEAT_S)

    async def _lapse(self, leaf_id):
        await asyncio.sleep(EXPIRY_S)
        self.rig.store.delete("servers", leaf_id)

    def crash(self, away_s):
        """End at once; another start comes after ``away_s``."""
        if not self.is_up:
            return
        self.is_up = False
        self._task.cancel()
        self.close(reset=True)
        self.rig.spawn(self._lapse(self.id))
        self.rig.spawn(self._return(away_s))

    async def _return(self, away_s):
        await asyncio.sleep(away_s)
        await self.start()

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, headers, body = message
            request_id = headers.get("request-id", "")
            echo = {"Request-Id": request_id}
            if headers.get("expect-instance", self.id) != self.id:
                writer.write(reply(421, {**echo, "Not-Executed": "1"}))
                continue
            async with self._free:
                verdict = self.on_run(self, first, headers, body)
                self.rig.record.line(
                    f"leaf {self.id} ({self.service}) runs {request_id} {first}"
                    f" tenant={headers.get('tenant', '-')}")
                if verdict == "crash":
                    return
                await asyncio.sleep(self.work_s)
            if not self.is_up:
                return
            stamp = f"{self.id}.{request_id}"
            writer.write(reply(200, {**echo, "Server-Stamp": stamp,
                                     "Keep-Alive": "timeout=10"},
                               request_id.encode().ljust(16, b".")))
            await writer.drain()


def render(text, fields):
    """Fill in a template as DEPLOY says, as far as ours needs it."""

    def find(path):
        value = fields
        for key in path.split("."):
            value = value.get(key) if isinstance(value, dict) else None
        return value

    def section(match):
        has = bool(find(match[2]))
        return match[3] if has == (match[1] == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.-]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section,
                  text, flags=re.DOTALL)

    def value(match):
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)


class Daemon:
    """One process of the project, with the command of the deploy file."""

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.front, self.ready, self.control = (free_port() for _ in range(3))
        self.metrics = free_port()
        self.process = None

    def configure(self, daemons):
        fields = {
            **FIELDS,
            **self.rig.fields,
            "node-name": f"frontend-{self.zone}-{self.number}",
            "ip": "127.0.0.1",
            "zone": self.zone,
            "seed-addrs": [f"127.0.0.1:{d.control}" for d in daemons[:3]],
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
                "control": f"127.0.0.1:{self.control}",
            },
            "platform": {"address": f"127.0.0.1:{self.rig.store.port}"},
        }
        role = self.rig.role
        text = render((ROOT / role["template"]).read_text(), fields)
        # All daemons share one address here, so each needs its own port.
        text = text.replace('"127.0.0.1:9464"', f'"127.0.0.1:{self.metrics}"')
        self.file = self.rig.folder / f"node-{self.number}.toml"
        self.file.write_text(text)

    def start(self):
        words = self.rig.role["run"].split()
        words[words.index("/etc/plantainhook/node.toml")] = str(self.file)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self.rig.folder / f"log-{self.number}.txt", "a")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self, timeout_s=1.0):
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready)
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                                 b"Connection: close\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def memory_bytes(self):
        """Return the resident memory of the process."""
        for line in pathlib.Path(
            f"/proc/{self.process.pid}/status"
        ).read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
        return 0


class Client:
    """One client connection that is kept open from request to request."""

    def __init__(self, rig, daemon, name):
        self.rig, self.daemon, self.name = rig, daemon, name
        self._streams = None

    async def ask(self, target, deadline_ms, headers=None, method="GET",
                  body=b"", wait_s=None):
        """Return status and seconds; the status may be "late" or "closed"."""
        rig = self.rig
        request_id = rig.next_id()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
                 f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        rig.record.line(f"{self.name} sends {request_id} {method} {target} to "
                        f"daemon {self.daemon.number}")
        began = time.monotonic()
        status = "closed"
        try:
            async with asyncio.timeout(wait_s or deadline_ms / 1000):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        "127.0.0.1", self.daemon.front)
                reader, writer = self._streams
                writer.write(head + body)
                message = await read_message(reader)
            if message is not None:
                status = int(message[0].split(" ")[1])
                if message[1].get("connection", "") == "close":
                    self.close()
        except TimeoutError:
            status = "late"
        except OSError:
            pass
        if not isinstance(status, int):
            self.close()
        took_s = time.monotonic() - began
        rig.record.line(f"{self.name} gets {status} for {request_id} after "
                        f"{took_s:.3f} s")
        return request_id, status, took_s

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Rig:
    """Everything that one script starts."""

    fields = {}

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.leafs, self.daemons = [], []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rig-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["daemon"]
        self._tasks = set()
        self._ids = 0

    def next_id(self):
        self._ids += 1
        return f"{self._ids:016x}"

    def spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, zones, configuration):
        """Start store, leafs and daemons; wait until all daemons are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunError("target/deps is missing: build first")
        await self.store.listen()
        self.store.put("config", "main", configuration)
        for leaf in self.leafs:
            await leaf.start()
        self.daemons = [Daemon(self, number, zone)
                        for number, zone in enumerate(zones)]
        for daemon in self.daemons:
            daemon.configure(self.daemons)
            daemon.start()
        end = time.monotonic() + 20
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise NotRunError("a daemon is not ready after 20 s")
                await asyncio.sleep(0.1)
        # The members find each other, and their copies settle.
        await asyncio.sleep(3.0)
        self.record.say(f"{len(zones)} daemons are ready")

    def stop(self):
        for task in list(self._tasks):
            task.cancel()
        for daemon in self.daemons:
            # One that hangs does not answer SIGTERM.
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(folder, case, limit_s=110):
    """Run ``case(rig)`` and exit with its result."""

    async def run():
        rig = Rig(folder)
        try:
            async with asyncio.timeout(limit_s):
                result = await case(rig)
            rig.record.say({HELD: "held", BROKEN: "BROKEN"}[result])
            return result
        except (NotRunError, TimeoutError) as error:
            rig.record.say(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            rig.stop()

    raise SystemExit(asyncio.run(run()))


def route(name, prefix, timeout_ms, goal_ms, kind="idempotent", **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind,
            "timeout-ms": timeout_ms, "latency-goal-ms": goal_ms,
            "max-attempts": 2, "priority": 1, **more}


def configuration(routes, services, version=7, **more):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/health", "max-conns": conns}
            for name, conns in services.items()
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        **more,
    }
