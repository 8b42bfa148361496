"""One run of one seed: start everything, inject faults, end them, and check the records."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from random import Random

from radishmount.standins import Direction, Relay, StoreStandIn, serve_stand_in, start_relay
from soak._callers import run_callers
from soak._checks import MAX_RECOVERY_S, STORE, broken_promises
from soak._endpoints import SLOW_WORK_MS, Endpoints, SoakEndpoint
from soak._fleet import GRACE_PERIOD_S, SIGKILL_EXIT, TERM_EXITS, Fleet, SoakInstance, start_fleet
from soak._operator import ORDER_SERVICE, Operator, shard_services_of
from soak._plan import Fault, FaultKind, plan_faults
from soak._records import Records


__all__ = ["RunConfig", "run_seed"]

REPLICAS = 3
DRAIN_S = 4.5
NEW_SHARDS_STARTUP_S = 2.0
STORE_AWAY_S = 0.5  # before the store comes back from an older copy
SETTINGS_NOTICED_S = 2.0  # twice the interval at which an instance looks at its settings file
STORE_DELAY_MS = 600.0
CALLERS_DELAY_MS = 80.0
STARTUP_S = 2.0
RECOVERY_S = MAX_RECOVERY_S + 2.0
STORE_DOWN_STATUS = HTTPStatus.SERVICE_UNAVAILABLE

ApplyFault = Callable[[Fault], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class RunConfig:
    """The size of a run, and how long faults are injected.

    With `timeless`, only what must hold on a machine of any speed is checked.
    """

    instances: int = 4
    callers: int = 8
    faults_s: float = 15.0
    timeless: bool = False


@dataclass(slots=True)
class Run:
    """One run. Each fault is applied by a task that begins it, waits and ends it."""

    store: StoreStandIn
    fleet: Fleet
    endpoints: Endpoints
    operator: Operator
    records: Records
    fault_tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def inject_all(self, faults: list[Fault]) -> None:
        """Begin each fault at its time, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in faults:
            await asyncio.sleep(max(0.0, began_s + fault.at_s - loop.time()))
            task = asyncio.create_task(self._inject(fault))
            self.fault_tasks.add(task)
        await asyncio.gather(*self.fault_tasks)

    async def _inject(self, fault: Fault) -> None:
        began_s = asyncio.get_running_loop().time()
        name = await self._apply(fault)
        if name is not None:
            self.records.record_disturbance(name, began_s, asyncio.get_running_loop().time())

    async def _apply(self, fault: Fault) -> str | None:
        """Apply a fault until its end.

        Returns the instance or the store that it disturbed, which excuses some violations there,
        or None if every promise must hold in spite of the fault.
        """
        instances = list(self.fleet.by_name.values())
        instance = instances[fault.target % len(instances)]
        match fault.kind:
            case FaultKind.KILL:
                self.fleet.signal(instance, signal.SIGKILL, {SIGKILL_EXIT})
                await asyncio.sleep(fault.duration_s)
                return instance.name
            case FaultKind.STOP:
                self.fleet.signal(instance, signal.SIGTERM, set(TERM_EXITS))
                await asyncio.sleep(GRACE_PERIOD_S)
                return instance.name
            case FaultKind.FREEZE:
                self.fleet.signal(instance, signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
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
            case FaultKind.STORE_MOVED:
                await self._move_store(fault, instances if fault.target % 2 else [instance])
                return None
            case FaultKind.ENDPOINT_LEAVES:
                endpoint = self._target_endpoint(fault)
                await self.endpoints.replace(endpoint, DRAIN_S)
                return None
            case FaultKind.ENDPOINT_KILLED:
                await self.endpoints.kill(self._target_endpoint(fault))
                return None
        if fault.kind.name.startswith("STORE"):
            return await self._disturb_store(fault, instance)
        await self._disturb_endpoint(fault, self._target_endpoint(fault))
        return None

    def _target_endpoint(self, fault: Fault) -> SoakEndpoint:
        """Return the endpoint that the fault selects among those that are not draining."""
        staying = [e for e in self.endpoints.by_name.values() if not e.is_draining]
        return staying[fault.target % len(staying)]

    async def _change_settings(self, fault: Fault, instance: SoakInstance) -> None:
        if fault.kind is FaultKind.BAD_SETTINGS:
            instance.write_invalid_settings()
            self.fleet.signal(instance, signal.SIGHUP)
            await asyncio.sleep(min(fault.duration_s, 1.0))
        else:
            instance.retry_budget_slack = 40 + fault.target % 20
        instance.write_settings()
        if fault.target % 2:
            self.fleet.signal(instance, signal.SIGHUP)

    async def _disturb_callers(self, fault: Fault, instance: SoakInstance) -> None:
        link = instance.caller_link
        assert link is not None
        if fault.kind is FaultKind.CALLERS_RESET:
            link.reset()
            return
        link.delay_ms = lambda: CALLERS_DELAY_MS
        await asyncio.sleep(fault.duration_s)
        link.delay_ms = lambda: 0.0

    async def _disturb_store(self, fault: Fault, instance: SoakInstance) -> str:
        link = instance.store_link
        match fault.kind:
            case FaultKind.STORE_DOWN:
                await self.store.set_status(STORE_DOWN_STATUS)
                await asyncio.sleep(fault.duration_s)
                await self.store.set_status(HTTPStatus.OK)
                return STORE
            case FaultKind.STORE_FORGETS:
                await self.store.forget_history()
                return STORE
            case FaultKind.STORE_RESTORED | FaultKind.STORE_RESTORED_UNTOLD:
                tells_era = fault.kind is FaultKind.STORE_RESTORED
                await self._restore_store(fault.duration_s, tells_era=tells_era)
                return STORE
            case FaultKind.STORE_SILENT:
                link.silence()
            case FaultKind.STORE_SLOW:
                await _delay_link(link, STORE_DELAY_MS, fault.duration_s)
            case _:
                await _cut_link(link, fault.duration_s)
        return instance.name

    async def _move_store(self, fault: Fault, instances: list[SoakInstance]) -> None:
        """Have the settings name a new address of the store; the old one goes away later."""
        old_links = [instance.store_link for instance in instances]
        for instance in instances:
            instance.store_link = await start_relay(str(instance.store_link.target), lambda: 0.0)
            instance.write_settings()
            if fault.target % 3:
                self.fleet.signal(instance, signal.SIGHUP)
        await asyncio.sleep(SETTINGS_NOTICED_S + fault.duration_s)
        for link in old_links:
            await link.stop()

    async def _restore_store(self, lost_s: float, *, tells_era: bool) -> None:
        """Have the store lose the changes of `lost_s`; who wrote them writes them again."""
        copy = self.store.copy()
        await asyncio.sleep(lost_s)
        await self.store.set_status(STORE_DOWN_STATUS)
        await asyncio.sleep(STORE_AWAY_S)
        await self.store.restore(copy, tells_era=tells_era)
        await self.store.set_status(HTTPStatus.OK)
        await self.operator.publish_again()
        await self.endpoints.write_again()

    async def _disturb_endpoint(self, fault: Fault, endpoint: SoakEndpoint) -> None:
        match fault.kind:
            case FaultKind.ENDPOINT_SLOW:
                endpoint.back_end.work_ms = SLOW_WORK_MS
            case FaultKind.ENDPOINT_LOSES:
                endpoint.loses_replies = endpoint.back_end.resets_after_reply = True
            case FaultKind.ENDPOINT_EXTRA:
                endpoint.answers_twice = True
            case FaultKind.ENDPOINT_ENDLESS:
                endpoint.answer_without_end()
            case FaultKind.ENDPOINT_SHEDS:
                endpoint.sheds_load = True
            case FaultKind.ENDPOINT_CUT:
                endpoint.link.is_cut = True
            case FaultKind.ENDPOINT_CUT_BACK:
                endpoint.link.cut_direction = Direction.FROM_TARGET
            case FaultKind.ENDPOINT_SILENT:
                endpoint.link.silence()
            case FaultKind.ENDPOINT_RESET:
                endpoint.link.reset()
        await asyncio.sleep(fault.duration_s)
        endpoint.heal()

    async def _reshard(self) -> None:
        """Start endpoints of a new set of shards, publish the set, and drain the old endpoints."""
        old = shard_services_of(self.operator.shard_set)
        self.operator.shard_set += 1
        for service in shard_services_of(self.operator.shard_set):
            for _ in range(REPLICAS):
                await self.endpoints.add(service)
        await asyncio.sleep(NEW_SHARDS_STARTUP_S)
        await self.operator.publish()
        await asyncio.sleep(DRAIN_S)
        for endpoint in [e for e in self.endpoints.by_name.values() if e.service in old]:
            if not endpoint.is_draining:
                await self.endpoints.drain(endpoint, DRAIN_S)

    def heal(self) -> None:
        """End the remaining faults of endpoints, processes and links to the store."""
        self.endpoints.heal()
        for instance in self.fleet.by_name.values():
            self.fleet.signal(instance, signal.SIGCONT)
            instance.store_link.is_cut = False


async def run_seed(seed: int, config: RunConfig, folder: Path) -> dict[str, list[str]]:
    """Run one seed and return the violations by check. Logs and settings stay in `folder`."""
    random = Random(seed)
    records = Records()
    store = StoreStandIn()
    store_server = await serve_stand_in(store.app())
    fleet = await start_fleet(config.instances, folder, str(store_server.address), records)
    endpoints = Endpoints(store, records, Random(seed))
    operator = Operator(store, records)
    run = Run(store, fleet, endpoints, operator, records)
    for service in (*shard_services_of(0), ORDER_SERVICE):
        for _ in range(REPLICAS):
            await endpoints.add(service)
    await operator.publish()
    fleet.start()
    await asyncio.sleep(STARTUP_S)
    callers_task = asyncio.create_task(run_callers(config.callers, fleet, records, random))
    try:
        await run.inject_all(plan_faults(Random(seed), config.faults_s))
        run.heal()
        records.healed_at_s = asyncio.get_running_loop().time()
        await asyncio.sleep(RECOVERY_S)
        await fleet.record_known_counts()
    finally:
        callers_task.cancel()
        await asyncio.gather(callers_task, return_exceptions=True)
        records.unexpected_exits.extend(await fleet.stop())
        await endpoints.stop()
        await store_server.stop()
    return broken_promises(records, timeless=config.timeless)


async def _delay_link(link: Relay, delay_ms: float, duration_s: float) -> None:
    link.delay_ms = lambda: delay_ms
    await asyncio.sleep(duration_s)
    link.delay_ms = lambda: 0.0


async def _cut_link(link: Relay, duration_s: float) -> None:
    link.is_cut = True
    await asyncio.sleep(duration_s)
    link.is_cut = False
