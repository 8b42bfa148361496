"""Stand-ins of the platform, its clients and its back ends, for the scripts of the review.

They use the standard library only. Every address is a loopback address.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "cases.example"
GRACE_S = 6.0
RESTART_S = 0.5
MEMORY_MB = 300
FLEETS: list["Fleet"] = []  # those whose processes may still run


class Record:
    """Lines in `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


class Store:
    """The platform's store: the newest item of each key, a watch, and a history of all changes."""

    def __init__(self, page_items: int = 500) -> None:
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 10
        self.page_items = page_items
        self.answer_s = 0.004
        self.changed = asyncio.Event()
        self.connections: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1000)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def put(self, key: str, content: dict) -> int:
        self.revision += 1
        value = base64.b64encode(json.dumps(content).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = dict(key=key, value=value, revision=self.revision, created=created, lease=0)
        self.items[key] = item
        self._add(item)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add(dict(key=key, revision=self.revision, removed=True))

    def _add(self, event: dict) -> None:
        self.events.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                await read_body(reader, head[1])
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                status, content = await self._answer(url.path, query)
                await asyncio.sleep(self.answer_s)
                body = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[: self.page_items]]
            more = len(keys) > len(page)
            return 200, dict(items=page, morePages=more, storeRevision=self.revision)
        if path == "/-/kv-watch":
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [
                    e
                    for e in self.events
                    if e["revision"] > int(after) and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, dict(events=events, storeRevision=self.revision)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}


class Arrival:
    """One request that a back end has read."""

    def __init__(self, backend: "Backend", line: str, headers: dict[str, str], body: bytes) -> None:
        self.backend = backend
        self.method, self.target, _ = line.split(" ")
        self.headers = headers
        self.body = body
        self.id = headers.get("radishmount-request-id", "")
        self.time_left_s = int(headers.get("radishmount-time-left-ms", "5000")) / 1000


class Backend:
    """A back end. `work` handles each arrival: it returns the bytes to send, or None to close."""

    def __init__(self, name, service, work, store, zone="z1", slots=8) -> None:
        self.name, self.service, self.work, self.store = name, service, work, store
        self.zone, self.slots = zone, slots
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> "Backend":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1000)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self.register()
        return self

    def register(self, state: str = "ready") -> None:
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            dict(
                service=self.service,
                address=self.address,
                zone=self.zone,
                version="v1",
                slots=self.slots,
                state=state,
                coldLeftMs=0,
                born=self.born,
                seq=self.sequence,
            ),
        )

    def answer(self, arrival: Arrival, body: bytes, status: int = 200, more: str = "") -> bytes:
        """Return the bytes of a complete, signed response."""
        head = (
            f"HTTP/1.1 {status} X\r\nRadishmount-Request-Id: {arrival.id}\r\n"
            f"Radishmount-Server-Stamp: {self.name}.{arrival.id}.{status}\r\n"
            f"Radishmount-Server-Load: {self.running},0,{self.slots}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                arrival = Arrival(self, head[0], head[1], body)
                if head[1].get("radishmount-expect-instance", self.name) != self.name:
                    writer.write(
                        f"HTTP/1.1 421 X\r\nRadishmount-Request-Id: {arrival.id}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    continue
                # A sound back end drops a request when its connection closes.
                gone = asyncio.ensure_future(_until_closed(reader))
                self.running += 1
                work = asyncio.ensure_future(self.work(arrival, writer))
                try:
                    await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    self.running -= 1
                    gone.cancel()
                    work.cancel()
                    await asyncio.wait({gone, work})
                if work.cancelled() or work.exception() or work.result() is None:
                    return
                writer.write(work.result())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


async def _until_closed(reader: asyncio.StreamReader) -> None:
    """Wait until the other side has closed; bytes that come meanwhile stay unread."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Machine:
    """One machine with one process of the system, which the platform restarts when it ends."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.fleet = fleet
        self.name = f"front-{number}"
        self.ip = f"{fleet.network}.{number}"
        self.zone = f"z{1 + (number - 1) % fleet.zones}"
        self.settings = fleet.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends = 0
        self.memory_kills = 0
        self.peak_mb = 0.0
        self.expected = False
        self.stopping = False

    def address(self, port: str) -> tuple[str, int]:
        return self.ip, self.fleet.ports[port]

    def write_settings(self) -> None:
        listen = "\n".join(f'{n} = "{self.ip}:{p}"' for n, p in self.fleet.ports.items())
        seeds = ", ".join(
            f'"{m.ip}:{self.fleet.ports["control"]}"' for m in self.fleet.machines[:3]
        )
        zones = "\n".join(f'z{n + 1} = "r1"' for n in range(self.fleet.zones))
        self.settings.write_text(
            f"""nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r1"
portRange = [7740,7755]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "directory"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listen]
{listen}
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = {GRACE_S:.0f}
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
recoveryS = 12
ttl_max_s = 5
[platform]
address = "{self.fleet.store.address}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        )

    async def supervise(self) -> None:
        while not self.stopping:
            self.expected = False
            with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.fleet.command,
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                    env=self.fleet.environment(self),
                )
            self.fleet.record(f"{self.name} started")
            try:
                status = await self.process.wait()
            finally:
                if self.process.returncode is None:  # the case ends
                    self.process.send_signal(signal.SIGKILL)
            if self.stopping:
                return
            if not self.expected:
                self.own_ends += 1
            note = "" if self.expected else " by itself"
            self.fleet.record(f"{self.name} ended{note} with status {status}")
            await asyncio.sleep(RESTART_S)

    def signal(self, number: int, expected: bool = True) -> None:
        if self.process is not None and self.process.returncode is None:
            self.expected = self.expected or expected
            self.process.send_signal(number)

    async def terminate(self) -> None:
        """SIGTERM, and SIGKILL after the grace period, as the platform stops a process."""
        process = self.process
        self.fleet.record(f"{self.name} gets SIGTERM")
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(asyncio.shield(process.wait()), GRACE_S)
        except TimeoutError:
            if process.returncode is None:
                self.fleet.record(f"{self.name} gets SIGKILL")
                process.send_signal(signal.SIGKILL)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in megabytes."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, AttributeError, IndexError):
            return 0.0
        return pages * resource.getpagesize() / 1_000_000

    async def enforce_memory(self) -> None:
        """Kill the process when it exceeds `memoryMb`, as the platform does."""
        while True:
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB and self.process.returncode is None:
                self.memory_kills += 1
                self.fleet.record(f"{self.name} uses {used:.0f} MB of {MEMORY_MB}, and is killed")
                self.signal(signal.SIGKILL, expected=False)
                await self.process.wait()
            await asyncio.sleep(0.02)


class Fleet:
    """The machines, started with the command of the deploy file."""

    def __init__(self, count: int, store: Store, record: Record, zones: int = 1) -> None:
        self.store, self.record, self.zones = store, record, zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        import tomllib

        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.command = role["run"].split(" ")
        self.more = role.get("env", {})
        self.network = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.machines: list[Machine] = []
        self.machines = [Machine(self, number) for number in range(1, count + 1)]
        self.ports = {
            name: self._free_port() for name in ("front", "ready", "control", "directory")
        }
        self.tasks: list[asyncio.Task] = []
        FLEETS.append(self)

    def _free_port(self) -> int:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            return probe.getsockname()[1]

    def environment(self, machine: Machine) -> dict[str, str]:
        return {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "RADISHMOUNT_BOOT": str(machine.settings),
            **self.more,
        }

    async def start(self) -> None:
        for machine in self.machines:
            machine.write_settings()
            self.tasks.append(asyncio.ensure_future(machine.supervise()))
        await asyncio.sleep(0.1)

    async def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        until = time.monotonic() + limit_s
        waiting = list(self.machines)
        while waiting and time.monotonic() < until:
            waiting = [m for m in waiting if not await is_ready(m)]
            await asyncio.sleep(0.1)
        return not waiting

    async def stop(self) -> None:
        """End every process; a second call does nothing."""
        if self not in FLEETS:
            return
        FLEETS.remove(self)
        for machine in self.machines:
            machine.stopping = True
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        await asyncio.gather(*(m.process.wait() for m in self.machines if m.process))
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(machine: Machine) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*machine.address("ready"))
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
    except (OSError, TimeoutError):
        return False


async def resolve(machines: list["Machine"], zone: str) -> tuple[list[tuple[str, int]], float]:
    """Ask up to three machines where to connect; return the addresses and `ttl_s`."""
    for machine in random.sample(machines, min(3, len(machines))):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*machine.address("directory"))
                writer.write(
                    f"GET /-/resolve?name={HOST}&region=r1&zone={zone} HTTP/1.1\r\n"
                    "Host: x\r\nConnection: close\r\n\r\n".encode()
                )
                head = await read_head(reader)
                if head is None or " 200 " not in head[0] + " ":
                    continue
                content = json.loads(await read_body(reader, head[1]))
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
        found = [(a.rsplit(":", 1)[0], int(a.rsplit(":", 1)[1])) for a in content["addrs"]]
        if found:
            return found, min(content["ttl_s"], 5.0)
    return [], 0.0


class Answer:
    """What a client got: `status` is 0 where the connection ended without a complete answer."""

    def __init__(self, status=0, headers=None, body=b"", note="", took_s=0.0) -> None:
        self.status, self.headers, self.body = status, headers or {}, body
        self.note, self.took_s = note, took_s

    def __str__(self) -> str:
        return f"{self.status or self.note} after {self.took_s * 1000:.0f} ms"


class Connection:
    """A client's connection to one machine, for one request at a time."""

    def __init__(self, reader, writer) -> None:
        self.reader, self.writer = reader, writer
        self.usable = True

    @classmethod
    async def open(cls, address: tuple[str, int], limit_s: float = 1.0) -> "Connection":
        async with asyncio.timeout(limit_s):
            return cls(*await asyncio.open_connection(*address))

    async def request(self, content: bytes, limit_s: float) -> Answer:
        began = time.monotonic()
        self.usable = False
        try:
            async with asyncio.timeout(limit_s):
                self.writer.write(content)
                head = await read_head(self.reader)
                if head is None:
                    # An orderly end: a connection that is closed with unread bytes is reset.
                    note = "reset" if self.reader.exception() else "closed"
                    return Answer(note=note, took_s=time.monotonic() - began)
                body = await read_body(self.reader, head[1])
        except TimeoutError:
            return Answer(note="gave up", took_s=time.monotonic() - began)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(note="cut short", took_s=time.monotonic() - began)
        self.usable = head[1].get("connection", "").lower() != "close"
        status = int(head[0].split(" ")[1])
        return Answer(status, head[1], body, took_s=time.monotonic() - began)

    def close(self) -> None:
        self.writer.close()


_ids = itertools.count(1)
_run = f"{random.getrandbits(32):08x}"


def new_id() -> str:
    return f"{_run}{next(_ids):08x}"


def encode(request_id: str, path: str, time_left_ms: int, method="GET", body=b"", host=HOST):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRadishmount-Request-Id: {request_id}\r\n"
        f"Radishmount-Time-Left-Ms: {time_left_ms}\r\n"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def route(name: str, **fields) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "routeType": "safe",
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }


def configuration(version: int, routes: list[dict], services: list[str], **fields) -> dict:
    return {
        "version": version,
        "routes": routes,
        "services": [dict(name=s, maxConns=110, healthPath="/health") for s in services],
        "limits": dict(
            maxHeaderBytes=16384, maxBodyBytes=262144, headerTimeoutMs=3000, idleTimeoutMs=20000
        ),
        **fields,
    }


def run_case(case, folder: str, limit_s: float = 110.0) -> None:
    """Run `case(record)` within the time limit and exit with its verdict."""
    record = Record(Path(folder))
    os.environ.setdefault("LANG", "C.UTF-8")

    async def bounded() -> int:
        stopped = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(record)
        except (TimeoutError, asyncio.CancelledError):
            record.say("the case did not end in time, or was stopped")
            return COULD_NOT_RUN
        finally:
            for fleet in list(FLEETS):
                await fleet.stop()

    try:
        verdict = asyncio.run(bounded())
    except Exception as error:  # anything unexpected means that the case could not run
        record.say(f"could not run: {error!r}")
        verdict = COULD_NOT_RUN
    record.say({0: "HELD", 1: "BROKEN", 2: "COULD NOT RUN"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)
