"""One run of one seed: start everything, strike, heal, look, and compare."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from random import Random

from radishmount.standins import Direction, Relay, StoreStandIn, serve_stand_in
from soak._callers import run_callers
from soak._checks import SERVED_AGAIN_S, STORE, broken_promises
from soak._endpoints import SLOW_WORK_MS, Endpoints, SoakEndpoint
from soak._fleet import GRACE_S, KILLED, TERM_EXITS, Fleet, SoakInstance, start_fleet
from soak._operator import ORDER_SERVICE, Operator, shards_of
from soak._plan import Fault, FaultKind, plan_faults
from soak._records import Records


__all__ = ["RunShape", "run_seed"]

REPLICAS = 3
LEAVING_SERVES_S = 4.5
RESHARD_AFTER_S = 2.0
SLOW_STORE_MS = 600.0
SLOW_CALLERS_MS = 80.0
START_S = 2.0
CALM_S = SERVED_AGAIN_S + 2.0
SHEDDING_STATUS = HTTPStatus.SERVICE_UNAVAILABLE

Strike = Callable[[Fault], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RunShape:
    """How large a run is, and how long its faults go on.

    A timeless run checks only what must hold on a machine of any speed.
    """

    instances: int = 4
    callers: int = 8
    faults_s: float = 15.0
    timeless: bool = False


@dataclass(slots=True)
class Run:
    """One run. Each kind of fault is a coroutine that strikes, waits and heals."""

    store: StoreStandIn
    fleet: Fleet
    endpoints: Endpoints
    operator: Operator
    records: Records
    strikes: set[asyncio.Task[None]] = field(default_factory=set)

    async def strike_all(self, faults: list[Fault]) -> None:
        """Begin each fault at its time, and wait for the last one to end."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in faults:
            await asyncio.sleep(max(0.0, began_s + fault.at_s - loop.time()))
            task = asyncio.create_task(self._strike(fault))
            self.strikes.add(task)
        await asyncio.gather(*self.strikes)

    async def _strike(self, fault: Fault) -> None:
        began_s = asyncio.get_running_loop().time()
        name = await self._do(fault)
        if name is not None:
            self.records.trouble(name, began_s, asyncio.get_running_loop().time())

    async def _do(self, fault: Fault) -> str | None:
        """Do what the fault says; return whom it disturbed, none where no promise is loosened."""
        instances = list(self.fleet.by_name.values())
        instance = instances[fault.target % len(instances)]
        match fault.kind:
            case FaultKind.KILL:
                self.fleet.signal(instance, signal.SIGKILL, {KILLED})
                await asyncio.sleep(fault.for_s)
                return instance.name
            case FaultKind.STOP:
                self.fleet.signal(instance, signal.SIGTERM, set(TERM_EXITS))
                await asyncio.sleep(GRACE_S)
                return instance.name
            case FaultKind.FREEZE:
                self.fleet.signal(instance, signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                self.fleet.signal(instance, signal.SIGCONT)
                return instance.name
            case FaultKind.RELOAD | FaultKind.BAD_SETTINGS:
                await self._change_settings(fault, instance)
                return None
            case FaultKind.CALLERS_RESET | FaultKind.CALLERS_DELAYED:
                await self._disturb_callers(fault, instance)
                return instance.name
            case FaultKind.PUBLISH:
                await self.operator.publish()
                return None
            case FaultKind.RESHARD:
                await self._reshard()
                return None
            case FaultKind.ENDPOINT_LEAVES:
                endpoint = self._endpoint(fault)
                await self.endpoints.leave(endpoint, LEAVING_SERVES_S)
                return None
            case FaultKind.ENDPOINT_KILLED:
                await self.endpoints.lose(self._endpoint(fault))
                return None
        if fault.kind.name.startswith("STORE"):
            return await self._disturb_store(fault, instance)
        await self._disturb_endpoint(fault, self._endpoint(fault))
        return None

    def _endpoint(self, fault: Fault) -> SoakEndpoint:
        """Return the endpoint of a fault; those that leave are spared."""
        staying = [e for e in self.endpoints.by_name.values() if not e.is_draining]
        return staying[fault.target % len(staying)]

    async def _change_settings(self, fault: Fault, instance: SoakInstance) -> None:
        if fault.kind is FaultKind.BAD_SETTINGS:
            instance.spoil_settings()
            self.fleet.signal(instance, signal.SIGHUP)
            await asyncio.sleep(min(fault.for_s, 1.0))
        else:
            instance.slack = 40 + fault.target % 20
        instance.write_settings()
        if fault.target % 2:
            self.fleet.signal(instance, signal.SIGHUP)

    async def _disturb_callers(self, fault: Fault, instance: SoakInstance) -> None:
        link = instance.caller_link
        assert link is not None
        if fault.kind is FaultKind.CALLERS_RESET:
            link.reset()
            return
        link.delay_ms = lambda: SLOW_CALLERS_MS
        await asyncio.sleep(fault.for_s)
        link.delay_ms = lambda: 0.0

    async def _disturb_store(self, fault: Fault, instance: SoakInstance) -> str:
        link = instance.store_link
        match fault.kind:
            case FaultKind.STORE_DOWN:
                await self.store.set_status(SHEDDING_STATUS)
                await asyncio.sleep(fault.for_s)
                await self.store.set_status(HTTPStatus.OK)
                return STORE
            case FaultKind.STORE_FORGETS:
                await self.store.forget_history()
                return STORE
            case FaultKind.STORE_SILENT:
                link.silence()
            case FaultKind.STORE_SLOW:
                await _slowed(link, SLOW_STORE_MS, fault.for_s)
            case _:
                await _cut(link, fault.for_s)
        return instance.name

    async def _disturb_endpoint(self, fault: Fault, endpoint: SoakEndpoint) -> None:
        match fault.kind:
            case FaultKind.ENDPOINT_SLOW:
                endpoint.back_end.work_ms = SLOW_WORK_MS
            case FaultKind.ENDPOINT_LOSES:
                endpoint.loses = endpoint.back_end.resets = True
            case FaultKind.ENDPOINT_EXTRA:
                endpoint.answers_twice = True
            case FaultKind.ENDPOINT_SHEDS:
                endpoint.sheds = True
            case FaultKind.ENDPOINT_CUT:
                endpoint.link.is_cut = True
            case FaultKind.ENDPOINT_CUT_BACK:
                endpoint.link.cut_direction = Direction.FROM_TARGET
            case FaultKind.ENDPOINT_SILENT:
                endpoint.link.silence()
            case FaultKind.ENDPOINT_RESET:
                endpoint.link.reset()
        await asyncio.sleep(fault.for_s)
        endpoint.heal()

    async def _reshard(self) -> None:
        """Start the endpoints of another set of shards, name them, and have the old ones leave."""
        old = shards_of(self.operator.shard_set)
        self.operator.shard_set += 1
        for service in shards_of(self.operator.shard_set):
            for _ in range(REPLICAS):
                await self.endpoints.add(service)
        await asyncio.sleep(RESHARD_AFTER_S)
        await self.operator.publish()
        await asyncio.sleep(LEAVING_SERVES_S)
        for endpoint in [e for e in self.endpoints.by_name.values() if e.service in old]:
            if not endpoint.is_draining:
                await self.endpoints.retire(endpoint, LEAVING_SERVES_S)

    def heal(self) -> None:
        """Have everything work again."""
        self.endpoints.heal()
        for instance in self.fleet.by_name.values():
            self.fleet.signal(instance, signal.SIGCONT)
            instance.store_link.is_cut = False


async def run_seed(seed: int, shape: RunShape, folder: Path) -> dict[str, list[str]]:
    """Run one seed; return what broke each promise. Logs and settings stay in `folder`."""
    random = Random(seed)
    records = Records()
    store = StoreStandIn()
    store_server = await serve_stand_in(store.app())
    fleet = await start_fleet(shape.instances, folder, str(store_server.address), records)
    endpoints = Endpoints(store, records, Random(seed))
    operator = Operator(store, records)
    run = Run(store, fleet, endpoints, operator, records)
    for service in (*shards_of(0), ORDER_SERVICE):
        for _ in range(REPLICAS):
            await endpoints.add(service)
    await operator.publish()
    fleet.start()
    await asyncio.sleep(START_S)
    calling = asyncio.create_task(run_callers(shape.callers, fleet, records, random))
    try:
        await run.strike_all(plan_faults(Random(seed), shape.faults_s))
        run.heal()
        records.calm_from_s = asyncio.get_running_loop().time()
        await asyncio.sleep(CALM_S)
        await fleet.look()
    finally:
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        records.own_exits.extend(await fleet.stop())
        await endpoints.stop()
        await store_server.stop()
    return broken_promises(records, timeless=shape.timeless)


async def _slowed(link: Relay, delay_ms: float, for_s: float) -> None:
    link.delay_ms = lambda: delay_ms
    await asyncio.sleep(for_s)
    link.delay_ms = lambda: 0.0


async def _cut(link: Relay, for_s: float) -> None:
    link.is_cut = True
    await asyncio.sleep(for_s)
    link.is_cut = False
