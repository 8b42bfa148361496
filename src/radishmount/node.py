"""One entry instance: its aggregates, put together."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from result import Err, Ok, Result

from radishmount.admission import Admission
from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.codes import Code, Refusal
from radishmount.counters import Counters
from radishmount.endpoints import EndpointPool, OpenChannel, make_choice
from radishmount.fleet import (
    AddressAnswer,
    Fleet,
    InstanceList,
    InstanceListSource,
    ListWatch,
    choose_addresses,
    watch_instances,
)
from radishmount.policy import EVERY_MECHANISM, QueryPolicy
from radishmount.publication import (
    ConfigurationSource,
    InForce,
    Publication,
    ReadBundle,
    Shard,
    watch_configuration,
)
from radishmount.queries import Answer, QueryTools, Search, SearchCall, run_search


__all__ = ["Node", "NodeParts", "Platform", "make_node"]


class Platform(ConfigurationSource, InstanceListSource, Protocol):
    """The platform, which can only be read and watched."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class NodeParts:
    """What an instance is handed from outside."""

    name: str
    data_centre: str
    clock: Clock
    random: Random
    platform: Platform
    open_channel: OpenChannel
    read_bundle: ReadBundle
    policy: QueryPolicy = EVERY_MECHANISM


@dataclass(slots=True)
class Node:
    """The state of one entry instance. Callers and operators are answered from here."""

    parts: NodeParts
    fleet: Fleet
    in_force: InForce
    list_watch: ListWatch
    pool: EndpointPool
    tools: QueryTools
    audit: AuditTrail
    counters: Counters
    admission: Admission = field(default_factory=Admission)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start one task for each watch at the platform."""
        platform = self.parts.platform
        self._start_task("watch configuration", watch_configuration(self.in_force, platform))
        self._start_task("watch instances", watch_instances(self.list_watch, platform))

    async def stop(self) -> None:
        """End the watches and close every connection."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.pool.stop()
        await self.parts.platform.close()

    def new_request_id(self) -> str:
        """Return a request id that no other request has."""
        return f"{self.parts.name}-{self.parts.random.getrandbits(64):016x}"

    def addresses(self, caller: str, data_centre: str) -> Result[AddressAnswer, Refusal]:
        """Return the addresses that a caller is to use, nearest to its data centre first."""
        known = self.in_force.current.callers_by_name.get(caller)
        if known is None:
            return Err(Refusal(Code.UNKNOWN_CALLER, detail=caller))
        return Ok(choose_addresses(self.fleet, caller, data_centre or known.data_centre))

    async def search(self, request_id: str, call: SearchCall) -> Result[Answer, Refusal]:
        """Admit a search and answer it."""
        if not self.is_ready():
            return Err(Refusal(Code.NOT_READY))
        publication = self.in_force.current
        collection = publication.collections_by_name.get(call.collection)
        if collection is None:
            return Err(Refusal(Code.UNKNOWN_COLLECTION, detail=call.collection))
        found = publication.rule_for(call.caller, call.collection)
        if isinstance(found, Err):
            return found
        rule = found.ok_value
        now_ms = self.parts.clock.now_ms()
        admitted = self.admission.admit(call.caller, rule, now_ms)
        if isinstance(admitted, Err):
            return admitted
        deadline_ms = min(call.deadline_ms or rule.deadline_ms, rule.deadline_ms)
        search = Search(
            request_id=request_id,
            caller=call.caller,
            collection=collection,
            rule=rule,
            terms=call.terms,
            deadline_at_ms=now_ms + deadline_ms,
            deadline_ms=deadline_ms,
        )
        return await run_search(search, self._shards_of(collection.name), self.tools)

    def _shards_of(self, collection: str) -> Callable[[], Sequence[Shard]]:
        """Return a function that reads the shards of a collection from what is in force."""
        return lambda: self.in_force.current.shards_by_collection.get(collection, ())

    def is_ready(self) -> bool:
        """Tell whether the instance takes work."""
        return self.in_force.current.version > 0 and self.fleet.list_version > 0

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""
        publication = self.in_force.current
        return {
            "name": self.parts.name,
            "data_centre": self.parts.data_centre,
            "ready": self.is_ready(),
            "publication": {"version": publication.version, "digest": publication.digest},
            "instance_list": {"version": self.fleet.list_version, "names": self.fleet.listed_names},
        }

    def _start_task(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(work, name=name))

    async def take_publication(self, publication: Publication) -> None:
        """Hand a new publication to the parts that follow it."""
        await self.pool.take_publication(publication, self.fleet.listed_names)

    async def take_list(self, instance_list: InstanceList) -> None:
        """Hand a new instance list to the parts that follow it."""
        names = self.fleet.listed_names
        self.admission.instances = len(names)
        await self.pool.take_publication(self.in_force.current, names)
        self.pool.take_leaving(instance_list.leaving_endpoints)


def make_node(parts: NodeParts, audit: AuditTrail) -> Node:
    """Return an instance that is not started yet."""
    counters = Counters()
    pool = EndpointPool(parts.name, parts.open_channel, parts.clock, counters, audit, parts.policy)
    choose = make_choice(parts.data_centre, Random(parts.random.random()), parts.policy)
    fleet = Fleet(parts.name, parts.data_centre)
    node = Node(
        parts=parts,
        fleet=fleet,
        in_force=InForce(parts.read_bundle, audit, counters, parts.clock),
        list_watch=ListWatch(fleet, audit, counters, parts.clock),
        pool=pool,
        tools=QueryTools(pool, parts.clock, choose, counters, parts.policy),
        audit=audit,
        counters=counters,
    )
    node.in_force.on_change.append(node.take_publication)
    node.list_watch.on_change.append(node.take_list)
    return node
