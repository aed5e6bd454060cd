"""Stand-ins and helpers for the scripts of the third review (stdlib only).

The store, the leafs and the clients follow the users' pages; where these are
silent, they behave like a sound peer. The daemons are started with the command
and the template of the deploy file, on loopback addresses.
"""

import asyncio
import atexit
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
STARTED_S = time.monotonic()
HEARTBEAT_S = 1.2
# contract-params.stable-window-ms.
STABLE_S = 4.0
MEMORY_MB = 300
# The ids of the requests that leafs have begun to run.
BEGUN = set()


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")

    def line(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - STARTED_S:8.3f} {text}\n")
        self._file.flush()


def free_ports(count, host="127.0.0.1"):
    """Return ports that are free now."""
    opened = []
    for _ in range(count):
        each = socket.socket()
        each.bind((host, 0))
        opened.append(each)
    ports = [each.getsockname()[1] for each in opened]
    for each in opened:
        each.close()
    return ports


async def read_head(reader):
    """Return the start line and the headers of a message, or None."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader, headers):
    """Return the body that the headers state."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(status, headers, body=b""):
    """Return the bytes of an answer."""
    reason = {200: "OK"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: objects with lists and watches.

    A spec is kept as the JSON text that its writer sent.
    """

    PAGE = 500
    PAGE_BYTES = 1_048_576
    HISTORY_S = 20.0

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.events = []
        self.forgotten_revision = 0
        self.changed = asyncio.Condition()
        self.calls = 0
        self.tasks = set()

    async def start(self):
        """Listen on a free port; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def put(self, kind, name, spec_text):
        """Create or replace an object; nothing changes if it is equal."""
        known = self.objects.get((kind, name))
        if known is not None and known[1] == spec_text:
            return
        async with self.changed:
            self.revision += 1
            self.objects[kind, name] = (self.revision, spec_text)
            self._add_event(kind, name, spec_text, False)
            self.changed.notify_all()

    async def delete(self, kind, name):
        """Remove an object."""
        async with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self.revision += 1
                self._add_event(kind, name, known[1], True)
                self.changed.notify_all()

    def _add_event(self, kind, name, spec_text, gone):
        """Add an event; drop those that are older than the history."""
        now_s = time.monotonic()
        self.events.append((self.revision, kind, name, spec_text, gone, now_s))
        while self.events[0][5] < now_s - self.HISTORY_S:
            self.forgotten_revision = self.events.pop(0)[0]

    @staticmethod
    def _object(name, revision, spec_text):
        return '{"meta": %s, "spec": %s}' % (
            json.dumps({"name": name, "revision": revision, "created": 1,
                        "finalizers": [], "deleting": False}),
            spec_text,
        )

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                start, headers = head
                body = await read_body(reader, headers)
                self.calls += 1
                method, target, _ = start.split(" ")
                status, text = await self._call(method, target, body)
                writer.write(message(
                    status,
                    {"Content-Type": "application/json", "Store-Era": "1"},
                    text.encode(),
                ))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(
            part.split("=", 1) for part in query_text.split("&") if part
        )
        parts = path.strip("/").split("/")
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query.get("wait-ms", 0))
            )
        if method == "GET" and name is None:
            return self._list(kind, query.get("after", ""))
        if method == "GET":
            known = self.objects.get((kind, name))
            if known is None:
                return 404, "{}"
            return 200, self._object(name, *known)
        document = json.loads(body or b"{}")
        if method == "POST":
            name = document["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self._object(name, *self.objects[kind, name])
            await self.put(kind, name, json.dumps(document.get("spec")))
        elif method == "PUT":
            if (kind, name) not in self.objects:
                return 404, "{}"
            await self.put(kind, name, json.dumps(document.get("spec")))
        elif method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, "{}"
            await self.delete(kind, name)
            return 200, "{}"
        return 200, self._object(name, *self.objects[kind, name])

    def _list(self, kind, after):
        names = sorted(
            name for own, name in self.objects
            if own == kind and name > after
        )
        page, size = [], 0
        for name in names[: self.PAGE]:
            size += len(self.objects[kind, name][1])
            if page and size > self.PAGE_BYTES:
                break
            page.append(name)
        items = ", ".join(
            self._object(name, *self.objects[kind, name]) for name in page
        )
        more = "true" if len(names) > len(page) else "false"
        return 200, '{"items": [%s], "more": %s, "store-revision": %d}' % (
            items, more, self.revision
        )

    async def _watch(self, kind, revision, wait_ms):
        now_s = time.monotonic()
        while self.events and self.events[0][5] < now_s - self.HISTORY_S:
            self.forgotten_revision = self.events.pop(0)[0]
        if revision < self.forgotten_revision:
            return 410, "{}"

        def found():
            return [e for e in self.events
                    if e[0] > revision and e[1] == kind]

        async with self.changed:
            if not found() and wait_ms:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(found), wait_ms / 1000
                    )
                except asyncio.TimeoutError:
                    pass
        events = ", ".join(
            '{"object": %s, "deleted": %s}'
            % (self._object(name, at, text), "true" if gone else "false")
            for at, _, name, text, gone, _ in found()
        )
        return 200, '{"events": [%s], "store-revision": %d}' % (
            events, self.revision
        )


class Leaf:
    """A leaf of one service, which registers itself in the store."""

    def __init__(self, store, name, service, zone, record, work_s=0.005):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = 0

    async def start(self):
        """Listen and register."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        await self.register()

    def entry(self):
        """Return the entry of this leaf."""
        return {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "1", "max-concurrency": 2,
            "state": self.state, "warmup-left-ms": 0, "seq": self.seq,
            "born": self.born_ms,
        }

    async def register(self):
        """Write the entry."""
        self.seq += 1
        await self.store.put("servers", self.name, json.dumps(self.entry()))

    async def beat(self):
        """Write the entry at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.seq += 1
            # Only more than ``seq`` changes the entry.

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                start, headers = head
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                writer.write(await self.answer(method, target, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, headers, body):
        """Return the answer to one request."""
        request_id = headers.get("request-id")
        if target == "/health":
            return message(200, {"Instance-Id": self.name})
        if headers.get("expect-instance", self.name) != self.name:
            return message(421, {"Not-Executed": "1",
                                 "Request-Id": request_id or ""})
        if request_id is None:
            return message(400, {"Not-Executed": "1"})
        self.runs += 1
        BEGUN.add(request_id)
        self.record.line(f"leaf {self.name} runs {request_id}")
        await asyncio.sleep(self.work_s)
        return message(
            200,
            {"Request-Id": request_id,
             "Server-Stamp": f"{self.name}.{request_id}"},
            b"answer of " + self.name.encode(),
        )


def fill(template, fields):
    """Fill a template as DEPLOY says."""

    def find(path, scope):
        value = scope
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match):
        wanted = match.group(1) == "#"
        value = find(match.group(2), fields)
        present = value is not None and value is not False
        return match.group(3) if present == wanted else ""

    text = re.sub(
        r"\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template,
        flags=re.DOTALL,
    )

    def value(match):
        path, _, form = match.group(1).partition("|")
        found = find(path, fields)
        if form == "json":
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([^}#^/]+)\}\}", value, text)


def small_fields(ip, zone, index, store_address, seeds, ports):
    """Return the settings of a machine of a small deployment."""
    front, ready, control = ports
    return {
        "node-name": f"frontend-{zone}-{index}", "ip": ip, "zone": zone,
        "seed-addrs": seeds,
        "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                   "control": f"{ip}:{control}"},
        "limits": {"cpu-share": 0.537, "cpu-cores": 2, "memory-mb": 300,
                   "max-fds": 4100},
        "contract-params": {"grace-s": 6, "retry-ratio": 0.2,
                            "budget-window-s": 10, "budget-extra": 52},
        "platform": {"address": store_address},
    }


class Daemon:
    """One daemon as a process, started with the command of the deploy file."""

    def __init__(self, fields, folder, extra=""):
        self.fields = fields
        self.folder = pathlib.Path(folder)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        text = fill((ROOT / role["template"]).read_text(), fields) + extra
        self.config = self.folder / f"{fields['node-name']}.toml"
        self.config.write_text(text)
        self.command = role["run"].split()
        self.command[-1] = str(self.config)
        self.process = None
        self.started_s = 0.0
        # Also if the script ends by an error.
        atexit.register(self.stop)

    def start(self):
        """Start the process."""
        log = open(self.folder / f"{self.fields['node-name']}.log", "ab")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=environment, stdout=log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
        )
        log.close()
        self.started_s = time.monotonic()

    def log_text(self):
        """Return what the process has written."""
        path = self.folder / f"{self.fields['node-name']}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def status_kb(self, name):
        """Return a figure of the process in kB, or 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(rf"{name}:\s+(\d+) kB", text)
        return int(found.group(1)) if found else 0

    def stop(self):
        """End the process by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def is_ready(daemon):
    """Return whether the daemon answers its ready path with 200."""
    status, _, _ = await request(
        daemon.fields["listen"]["ready"], "GET", "/v1/ready",
        {"Host": "ready"}, timeout_s=2.0,
    )
    return status == 200


async def wait_ready(daemon, timeout_s=20.0):
    """Wait until the daemon is ready; return whether it is."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if daemon.process.poll() is not None:
            return False
        if await is_ready(daemon):
            return True
        await asyncio.sleep(0.1)
    return False


async def request(address, method, target, headers, body=b"", timeout_s=5.0):
    """Send one request on a new connection.

    Return status, headers and body; the status is None without an answer.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                writer.write(
                    ("\r\n".join(lines) + "\r\n\r\n").encode() + body
                )
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    return None, {}, b""
                answer = await read_body(reader, head[1])
                return int(head[0].split(" ")[1]), head[1], answer
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""


async def call_kept(daemon, number, record, counts, cuts):
    """Send requests one after the other on a connection that is kept.

    A cut is a request that a leaf has begun to run and whose connection, which
    had served a request before, is closed by the daemon without an answer. It
    counts only if the process had run for the stable window.
    """
    host, _, port = daemon.fields["listen"]["front"].rpartition(":")
    name = f"{daemon.fields['node-name']}-caller{number}"
    sent_count = 0
    while True:
        started_s = daemon.started_s
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            counts["no connection"] = counts.get("no connection", 0) + 1
            await asyncio.sleep(0.2)
            continue
        served_count = 0
        while True:
            sent_count += 1
            request_id = f"{name}-{sent_count}"
            sent_s = time.monotonic()
            try:
                writer.write((
                    "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                    f"Request-Id: {request_id}\r\nDeadline-Ms: 3000\r\n\r\n"
                ).encode())
                head = await asyncio.wait_for(read_head(reader), 4.0)
                if head is not None:
                    await read_body(reader, head[1])
            except asyncio.TimeoutError:
                record.line(f"client {request_id} left after 4 s")
                counts["left"] = counts.get("left", 0) + 1
                break
            except (ConnectionError, asyncio.IncompleteReadError):
                head = None
            if head is None:
                is_cut = (
                    served_count > 0
                    and request_id in BEGUN
                    and sent_s - started_s >= STABLE_S
                )
                record.line(
                    f"client {request_id}: its connection was closed without "
                    f"an answer{', a leaf had begun' if is_cut else ''}"
                )
                counts["closed"] = counts.get("closed", 0) + 1
                if is_cut:
                    node = daemon.fields["node-name"]
                    cuts[node] = cuts.get(node, 0) + 1
                break
            status = int(head[0].split(" ")[1])
            record.line(f"client {request_id} got {status}")
            counts[status] = counts.get(status, 0) + 1
            served_count += status == 200
            if status != 200:
                await asyncio.sleep(0.1)
            if head[1].get("connection", "").lower() == "close":
                break
        writer.close()
        await asyncio.sleep(0.05)


async def play_platform(daemon, record, ends):
    """Do what the platform does with a process.

    One that exceeds the memory of its machine is killed, and one that has
    ended is started again after a short delay.
    """
    node = daemon.fields["node-name"]
    while True:
        await asyncio.sleep(0.1)
        resident = daemon.status_kb("VmRSS") * 1024
        code = daemon.process.poll()
        if code is None and resident > MEMORY_MB * 2**20:
            record.line(
                f"{node} takes {resident / 1e6:.0f} MB resident of "
                f"{MEMORY_MB} MB and is killed"
            )
            daemon.stop()
            ends.append((node, "memory"))
        elif code is not None:
            record.line(f"{node} ended by itself with code {code}")
            ends.append((node, code))
        else:
            continue
        await asyncio.sleep(0.5)
        daemon.start()


def route(name, host, prefix, service, **more):
    """Return a route of a configuration."""
    return {"name": name, "host": host, "path-prefix": prefix,
            "service": service, "kind": "idempotent", "timeout-ms": 3000,
            "latency-goal-ms": 500, "max-attempts": 2, "priority": 1, **more}


def configuration(version, routes, services, **more):
    """Return a configuration as the operator writes it."""
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            **more}


def finish(code, daemons):
    """End all processes and exit."""
    for daemon in daemons:
        daemon.stop()
        shutil.rmtree(daemon.folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)


def temporary_folder():
    """Return a new temporary folder."""
    return tempfile.mkdtemp(prefix="review3-")


def loopback():
    """Return a loopback address that is probably not in use.

    The port of the metrics is the same on all machines of a deployment.
    """
    return f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.1"
