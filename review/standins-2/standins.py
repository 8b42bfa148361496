"""Stand-ins for the scripts of this review: the platform's store, backends, clients, instances.

They follow PROTOCOL.md. All of them run in the process of the script, on loopback addresses; the
instances are processes of their own, started with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import json
import os
import random
import socket
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MACHINES = tuple(f"127.0.0.{10 + number}" for number in range(1, 10))
PORTS = (10_000, 30_000)  # below those that the system gives to clients
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retryBudgetSlack": 58, "recoveryS": 12, "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2


def free_ports(count):
    """Return ports that are free now on all addresses, none of which is given to a client."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        if port not in ports and all(is_free(host, port) for host in (HOST, *MACHINES)):
            ports.append(port)
    return ports


def is_free(host, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))  # nothing listens there
        except OSError:
            return False
    return True


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return the lines of a head, or None where the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[:-4].decode("latin-1").split("\r\n")


def headers_of(lines):
    return {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])}


class Store:
    """The platform's store: `kv-key`, `kv-range` and `kv-watch`."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.items = {}  # key -> (value, revision, created)
        self.events = []  # (revision, key, value or None)
        self.revision = 100
        self.history_from = 100
        self.era = 1
        self.states = [(time.monotonic(), dict(self.items), self.revision)]
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()
        # The page says that an entry changes when more than its `seq` does. Where this is set, each
        # heartbeat raises the revision all the same, without an event.
        self.counts_heartbeats = False

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def put(self, key, value):
        """Write an item; the return is the acknowledgement. An equal value is no change."""
        if key in self.items and self.items[key][0] == value:
            if self.counts_heartbeats:
                self.revision += 1
                self.states.append((time.monotonic(), dict(self.items), self.revision))
            return self.revision
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self._note(key, value)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def _note(self, key, value):
        self.events.append((self.revision, key, value))
        self.states.append((time.monotonic(), dict(self.items), self.revision))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def restore_copy(self, age_s, away_s):
        """Be away for `away_s`, and come back from a copy that was `age_s` old."""
        taken_at = time.monotonic() - age_s
        await self.stop()
        _, items, revision = [s for s in self.states if s[0] <= taken_at][-1]
        lost = self.revision - revision
        self.items, self.revision = dict(items), revision
        self.events = [e for e in self.events if e[0] <= revision]
        self.states = [(time.monotonic(), dict(items), revision)]
        self.era += 1
        await asyncio.sleep(away_s)
        await self.start()
        return lost

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (lines := await read_head(reader)) is not None:
                url = urlsplit(lines[0].split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, body = await self._answer(url.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, path, query):
        if path == "/-/kv-key":
            key = query.get("key", "")
            if key not in self.items:
                return 404, {"storeRevision": self.revision}
            return 200, {**self._item(key), "storeRevision": self.revision}
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._item(k) for k in keys[:500]],
                "morePages": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if path == "/-/kv-watch":
            return await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(30_000, int(query.get("waitMs", 0))) / 1000.0
        while True:
            if after > self.revision or after < self.history_from:
                return 410, {}
            events = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0.0:
                return 200, {
                    "events": [self._event(*e) for e in events], "storeRevision": self.revision
                }
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _item(self, key):
        value, revision, created = self.items[key]
        return {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": revision, "created": created, "lease": 0,
        }

    def _event(self, revision, key, value):
        if value is None:
            return {"key": key, "revision": revision, "removed": True}
        return {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": revision, "created": revision, "lease": 0,
        }


class Backend:
    """One backend. It registers in the store about every `HEARTBEAT_S`, and records what it runs.

    `work` is awaited for each request that it runs, and may return bytes to send in place of the
    usual answer.
    """

    def __init__(self, record, store, name, service, port, *, work_s=0.01, slots=8, zone="zone-a"):
        self.record, self.store, self.name, self.service, self.port = (
            record, store, name, service, port
        )
        self.work_s, self.slots, self.zone = work_s, slots, zone
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.runs = []  # (seconds, request id)
        self.running = 0
        self.work = None
        self.server = None
        self.beat_task = None
        self.writers = set()
        self.draining_since = None
        self.body_of_answer = None

    async def start(self, *, register=True):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        if register:
            self.beat()
            self.beat_task = asyncio.create_task(self._beat_often())

    def beat(self):
        self.seq += 1
        entry = {
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
            "born": self.born, "seq": 1,  # the store does not count a new `seq` as a change
        }
        return self.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _beat_often(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.server.is_serving():
                self.beat()

    def drain(self):
        """Report `draining`; the return of the store is the acknowledgement."""
        self.state = "draining"
        revision = self.beat()
        self.draining_since = self.record.now()
        self.record.line(f"store acknowledges: {self.name} is draining (revision {revision})")

    def leave(self):
        """End, with the entry removed."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        self.store.remove(f"servers/{self.name}")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (lines := await read_head(reader)) is not None:
                headers = headers_of(lines)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                await self._handle(lines[0], headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, line, headers, body, writer):
        request_id = headers.get("radishmount-request-id", "")
        if headers.get("radishmount-expect-instance") not in (None, self.name):
            writer.write(self._head(421, request_id, not_executed=True))
            return
        self.running += 1
        self.runs.append((self.record.now(), request_id))
        self.record.line(f"{self.name} runs {request_id} ({line.rsplit(' ', 1)[0]})")
        try:
            await asyncio.sleep(self.work_s)
            answer = None if self.work is None else await self.work(request_id, writer)
        finally:
            self.running -= 1
        if answer is not False:
            content = self.body_of_answer or f"{self.name} {request_id}\n".encode()
            writer.write(answer or self._head(200, request_id, content))
            await writer.drain()

    def _head(self, status, request_id, content=b"", *, not_executed=False):
        lines = [
            f"HTTP/1.1 {status} X",
            f"Radishmount-Request-Id: {request_id}",
            f"Content-Length: {len(content)}",
        ]
        if not_executed:
            lines.append("Radishmount-Not-Executed: 1")
        else:
            lines.append(f"Radishmount-Server-Stamp: {self.name}.{request_id}")
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + content


class Instance:
    """One process of the system, started with the command of the deploy file.

    Each machine has a loopback address of its own; the ports are the same on all of them.
    """

    def __init__(
        self, record, folder, number, ports, store_port, *, zone="zone-a", bounds=None, limits=None
    ):
        self.record, self.folder, self.zone = record, Path(folder), zone
        self.name, self.host = f"front-{number}", MACHINES[number - 1]
        self.front, self.ready, self.control, self.directory, self.metrics = ports
        self.store_port = store_port
        self.bounds, self.limits = {**BOUNDS, **(bounds or {})}, limits or {}
        self.process = None

    def write_settings(self, seeds):
        limits = {
            "cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0,
            "diskMb": 0, **self.limits,
        }
        lines = [
            f'nodeName = "{self.name}"', 'role = "entry"', 'machineClass = "front"',
            'serves = ["front", "control", "directory"]', f'ip = "{self.host}"', f'zone = "{self.zone}"',
            'region = "region"', f"seeds = {json.dumps(seeds)}", "bootstrap = true",
            "faultCounted = false", 'discovery = "platform"', 'entry = "directory"',
            "heartbeatIntervalMs = 1200", "[zones]", 'zone-a = "region"', "[listen]",
            f'front = "{self.host}:{self.front}"', f'ready = "{self.host}:{self.ready}"',
            f'control = "{self.host}:{self.control}"', f'directory = "{self.host}:{self.directory}"',
            "[limits]", *(f"{k} = {v}" for k, v in limits.items()),
            "[bounds]", *(f"{k} = {v}" for k, v in self.bounds.items()),
            "[platform]", f'address = "{HOST}:{self.store_port}"', 'form = "read"',
            "writesPerS = 400", "readsPerS = 2000", "historyS = 20", "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        (self.folder / f"{self.name}.toml").write_text("\n".join(lines) + "\n")

    async def start(self):
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        words = [str(self.metrics) if w == "9464" else w for w in command.split()]
        environment = {
            "PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"), "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null", "RADISHMOUNT_BOOT": str(self.folder / f"{self.name}.toml"),
        }
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.line(f"{self.name} started")

    async def wait_until_ready(self, limit_s=30.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _, _ = await ask((self.host, self.ready), "/-/readiness", "", 1.0)
            if status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def front_address(self):
        return self.host, self.front

    @property
    def control_address(self):
        return f"{self.host}:{self.control}"

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def ask(address, path, request_id, time_left_s, *, host="calls.example", method="GET", body=b""):
    """Send one request over a new connection; return status, headers and body (0: no answer)."""
    try:
        async with asyncio.timeout(time_left_s + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            try:
                return await ask_over(
                    reader, writer, path, request_id, time_left_s, host=host, method=method,
                    body=body, close=True,
                )
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()


async def ask_over(
    reader, writer, path, request_id, time_left_s, *, host="calls.example", method="GET", body=b"",
    close=False,
):
    """Send one request over an open connection and read the whole answer."""
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {host}", f"Radishmount-Request-Id: {request_id}",
        f"Radishmount-Time-Left-Ms: {int(time_left_s * 1000)}",
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        return 0, {}, b"closed without an answer"
    headers = headers_of(head)
    content = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split(" ")[1]), headers, content


def route(name, service, *, kind="safe", timeout_ms=4000, attempts=2, prefix=None):
    return {
        "name": name, "host": "calls.example", "prefix": prefix or f"/{name}/", "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": service,
        "maxAttempts": attempts,
    }


def configuration(version, routes, services):
    return json.dumps(
        {
            "version": version, "routes": routes,
            "services": [
                {"name": s, "healthPath": "/health", "maxConns": 110, "protocol": "h1",
                 "tls": False}
                for s in services
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
    ).encode()


def run(main):
    """Run `main(trouble)`: exit with 1 if it returns True (broken), 0 if False, else with 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(main(trouble))
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    if broken is None:
        print("could not run: an instance did not become ready, or calm requests failed")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
