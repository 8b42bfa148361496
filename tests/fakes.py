"""Fakes of endpoints and the platform, and a harness of whole instances on virtual time."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from result import Err, Ok, Result

from peer_fakes import FakeNetwork
from radishmount.audit import AuditTrail
from radishmount.border import build_publication, digest_of, parse_object
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal, RunStatus
from radishmount.endpoints import (
    Channel,
    Failure,
    LoadReport,
    Row,
    SearchTerms,
    SubReply,
    SubRequest,
    SubRequestOutcome,
)
from radishmount.fleet import Instance, InstanceList
from radishmount.node import Node, NodeDependencies, make_node
from radishmount.policy import DEFAULT_POLICY, QueryPolicy
from radishmount.publication import Diagnostic, Publication
from radishmount.queries import SearchCall
from support import objects_for


ATTEMPT_STAGGER_MS = 0.004  # makes attempts with one service time end in a fixed order


@dataclass
class EventLog:
    """The events of a test, one line each, for comparison with stored snapshots."""

    clock: Clock
    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Append one event with the present time in milliseconds."""
        self.lines.append(f"{self.clock.now_ms():9.1f}  {text}")

    def text(self) -> str:
        """Return all lines."""
        return "\n".join(self.lines)


@dataclass
class FakeEndpoint:
    """An endpoint that behaves as its fields say; a test may change them at any time.

    Requests to it take `service_ms`, probes `probe_ms` and closing a connection `close_ms`. It
    reports `reported_in_flight` and `reported_versions` instead of the truth where they are set.
    `reply_overrides` replaces fields of its replies. The connections up to number
    `silent_up_to_connection` are silent.
    """

    name: str
    log: EventLog
    versions: set[int] = field(default_factory=lambda: {1})
    service_ms: float = 10.0
    slots: int = 2
    silent: bool = False
    unreachable: bool = False
    shedding: bool = False
    draining: bool = False
    in_flight: int = 0
    connections: int = 0
    max_connections: int = 0
    connections_opened: int = 0
    silent_up_to_connection: int = 0
    close_ms: float = 0.0
    reported_in_flight: int | None = None
    reported_versions: set[int] | None = None
    reply_overrides: dict[str, Any] = field(default_factory=dict)
    probes: int = 0
    probe_ms: float = 0.0

    def load(self) -> LoadReport:
        """Return the load report of the endpoint, which may be false."""
        in_flight = self.in_flight if self.reported_in_flight is None else self.reported_in_flight
        versions = self.versions if self.reported_versions is None else self.reported_versions
        return LoadReport(self.slots, in_flight, 0, self.draining, frozenset(versions))

    def silence_open_connections(self) -> None:
        """Make the connections that are open silent, while new ones work."""
        self.silent_up_to_connection = self.connections_opened


class FakeChannel:
    """One connection to a fake endpoint."""

    def __init__(self, endpoint: FakeEndpoint) -> None:
        self._endpoint = endpoint
        self._number: int | None = None

    async def exchange(self, request: SubRequest, remaining_ms: float) -> SubRequestOutcome:
        """Answer a request as the fields of the endpoint say."""
        endpoint = self._endpoint
        subject = f"#{request.attempt} {request.shard} v{request.index_version}"
        endpoint.log.add(f"{endpoint.name} <- {request.request_id} {subject}")
        if endpoint.unreachable:
            return Err(Failure(Code.NOT_CONNECTED))
        self._connect()
        await self._wait_while_silent()
        failure = self._refuse(request)
        if failure is not None:
            endpoint.log.add(
                f"{endpoint.name} -> {request.request_id} {subject} {failure.code.name}"
            )
            return Err(failure)
        endpoint.in_flight += 1
        try:
            await asyncio.sleep(
                (endpoint.service_ms + ATTEMPT_STAGGER_MS * request.attempt) / 1000.0
            )
        except asyncio.CancelledError:
            endpoint.log.add(f"{endpoint.name} -- {request.request_id} {subject} cancelled")
            raise
        finally:
            endpoint.in_flight -= 1
        endpoint.log.add(f"{endpoint.name} -> {request.request_id} {subject} ok")
        row = Row(request.terms.keys.low + request.shard, 1.0, {"v": request.index_version})
        reply = SubReply(
            request.request_id,
            request.attempt,
            request.shard,
            request.index_version,
            (row,),
            endpoint.load(),
        )
        return Ok(replace(reply, **endpoint.reply_overrides))

    async def probe(self) -> Result[LoadReport, Failure]:
        """Answer a probe as the fields of the endpoint say."""
        if self._endpoint.unreachable:
            return Err(Failure(Code.NOT_CONNECTED))
        self._endpoint.probes += 1
        self._connect()
        await asyncio.sleep(self._endpoint.probe_ms / 1000.0)
        await self._wait_while_silent()
        return Ok(self._endpoint.load())

    async def close(self) -> bool:
        """Close the connection, which the endpoint counts for another `close_ms`."""
        if self._number is None:
            return True
        self._number = None
        try:
            await asyncio.sleep(self._endpoint.close_ms / 1000.0)
        finally:
            self._endpoint.connections -= 1
        return True

    def _connect(self) -> None:
        """Open the connection if it is not open."""
        endpoint = self._endpoint
        if self._number is not None:
            return
        endpoint.connections_opened += 1
        self._number = endpoint.connections_opened
        endpoint.connections += 1
        endpoint.max_connections = max(endpoint.max_connections, endpoint.connections)

    def _refuse(self, request: SubRequest) -> Failure | None:
        load = self._endpoint.load()
        if self._endpoint.draining:
            return Failure(Code.ENDPOINT_LEAVING, RunStatus.NOT_RUN, load=load)
        if self._endpoint.shedding:
            return Failure(Code.SHED, RunStatus.NOT_RUN, load=load)
        if request.index_version not in self._endpoint.versions:
            return Failure(Code.WRONG_VERSION, RunStatus.NOT_RUN, load=load)
        return None

    async def _wait_while_silent(self) -> None:
        number = self._number or 0
        while self._endpoint.silent or number <= self._endpoint.silent_up_to_connection:
            await asyncio.sleep(0.1)


@dataclass
class FakePlatform:
    """The platform. What is published answers the reads that wait for a newer version."""

    body: bytes = b""
    version: int = 0
    instances: InstanceList = InstanceList(0, ())
    down: bool = False
    reads: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def publish(self, version: int) -> None:
        """Publish `version`, with its number as the body."""
        self.publish_bundle(version, str(version).encode())

    def publish_bundle(self, version: int, body: bytes) -> None:
        """Publish `body`, valid or not, as `version`."""
        self.version = version
        self.body = body
        self._wake()

    def publish_instances(self, instances: InstanceList) -> None:
        """Publish an instance list."""
        self.instances = instances
        self._wake()

    async def bundle(self, after: int, wait_ms: int) -> Result[bytes | None, Refusal]:
        """Return the bundle if it is newer than `after`, else None after `wait_ms`."""
        if not await self._wait(lambda: self.version > after, wait_ms):
            return Err(Refusal(Code.PLATFORM_DOWN))
        return Ok(self.body if self.version > after else None)

    async def instance_list(self, after: int, wait_ms: int) -> Result[InstanceList | None, Refusal]:
        """Return the instance list if it is newer than `after`, else None after `wait_ms`."""
        if not await self._wait(lambda: self.instances.version > after, wait_ms):
            return Err(Refusal(Code.PLATFORM_DOWN))
        return Ok(self.instances if self.instances.version > after else None)

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _wait(self, is_newer, wait_ms: int) -> bool:  # type: ignore[no-untyped-def]
        self.reads += 1
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                while not self.down and not is_newer():
                    await self.changed.wait()
        except TimeoutError:
            pass
        return not self.down


@dataclass
class QueryHarness:
    """Instances and fake endpoints on one loop of virtual time, with one log of all events."""

    log: EventLog
    platform: FakePlatform
    endpoints_by_address: dict[str, FakeEndpoint]
    nodes_by_name: dict[str, Node] = field(default_factory=dict)
    objects_by_version: dict[int, list[dict[str, Any]]] = field(default_factory=dict)
    addresses: dict[str, list[str]] = field(default_factory=dict)
    network: FakeNetwork = field(default_factory=FakeNetwork)

    @property
    def endpoints_by_name(self) -> dict[str, FakeEndpoint]:
        """Return the endpoints by name."""
        return {endpoint.name: endpoint for endpoint in self.endpoints_by_address.values()}

    async def search(self, node: str = "entry-a", **fields) -> None:  # type: ignore[no-untyped-def]
        """Send one search to an instance and log the answer.

        `caller` and `deadline_ms` may be given for the call, and the `request_id`.
        """
        call = SearchCall(
            caller=fields.pop("caller", "workshop"),
            collection="catalogue",
            terms=SearchTerms("washi"),
            deadline_ms=fields.pop("deadline_ms", 190.0),
        )
        request_id = fields.pop("request_id", "r1")
        self.log.add(f"{node} <= {request_id}")
        match await self.nodes_by_name[node].search(request_id, call):
            case Err(refusal):
                self.log.add(f"{node} => {request_id} {refusal.code.name} {refusal.ran.value}")
            case Ok(answer):
                missing = ",".join(answer.coverage.missing) or "none"
                answered = f"v{answer.index_version} missing {missing}"
                self.log.add(
                    f"{node} => {request_id} {answered} of {answer.sub_requests} sub-requests"
                )

    async def stop(self) -> None:
        """Stop every instance."""
        for node in self.nodes_by_name.values():
            await node.stop()


def virtual_clock() -> Clock:
    """Return a clock that reads the running loop, for the time of day as well."""
    loop = asyncio.get_running_loop()
    return Clock(now_ms=lambda: loop.time() * 1000.0, wall_ms=lambda: loop.time() * 1000.0)


def publication_of(
    version: int, addresses: dict[str, list[str]], raw: list[dict[str, Any]] | None = None
) -> Publication:
    """Return a publication of `raw`, or else of the objects of `support.objects_for`."""
    raw = raw or objects_for(addresses)
    objects = [parse_object(item).unwrap() for item in raw]
    return build_publication(version, digest_of(raw), objects).unwrap()


async def start_query_harness(
    services: int = 2,
    replicas: int = 2,
    nodes: tuple[str, ...] = ("entry-a",),
    policy: QueryPolicy = DEFAULT_POLICY,
) -> QueryHarness:
    """Start instances with fake endpoints, and wait until every endpoint was probed."""
    clock = virtual_clock()
    log = EventLog(clock)
    addresses: dict[str, list[str]] = {}
    endpoints_by_address = {}
    for index in range(services):
        for n in range(replicas):
            address = f"127.0.{index}.{n}:80"
            endpoints_by_address[address] = FakeEndpoint(f"catalogue-{index}-{n}", log)
            addresses.setdefault(f"catalogue-{index}", []).append(address)
    platform = FakePlatform()
    harness = QueryHarness(log, platform, endpoints_by_address, addresses=addresses)

    def open_channel(address: str) -> Channel:
        return FakeChannel(endpoints_by_address[address])

    def read_bundle(body: bytes) -> Result[Publication, list[Diagnostic]]:
        version = int(body)
        return Ok(publication_of(version, addresses, harness.objects_by_version.get(version)))

    for number, name in enumerate(nodes):
        audit = AuditTrail(clock, emit=lambda line: log.add(f"audit {line.subject} {line.change}"))
        dependencies = NodeDependencies(
            name,
            "milano",
            clock,
            Random(number),
            platform,
            open_channel,
            read_bundle,
            harness.network.open_peer_for,
            policy,
        )
        node = make_node(dependencies, audit)
        harness.nodes_by_name[name] = node
        harness.network.add(name, node.fleet.members, node.peers)
        node.start()
    platform.publish(1)
    listed = tuple(Instance(name, "milano", f"{name}:1", f"{name}:2") for name in nodes)
    platform.publish_instances(InstanceList(1, listed))
    await asyncio.sleep(0.1)
    return harness
