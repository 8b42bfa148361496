"""One trial from end to end: the system under its load and faults, then the baseline."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

from radishmount.border import open_endpoint_channel
from radishmount.clock import Clock, loop_clock
from radishmount.programs._trial_fleet import EntryFleet
from radishmount.standins import (
    ENTRY_FAULTS,
    CallerStandIn,
    Stage,
    delayed_channels,
    link_delay,
    run_fault,
    start_stage,
)
from radishmount.trial import (
    Arrival,
    Ask,
    BoundOutcome,
    CallRecord,
    ControlCost,
    FaultKind,
    FaultPlan,
    Figures,
    NaiveCaller,
    Summary,
    TrialPlan,
    arrivals_of,
    check_bounds,
    count_violations,
    drive,
    figures_of,
    parts_of,
)


__all__ = ["TrialOutcome", "run_trial"]

BASELINE_ENTRY = "baseline"
READY_TIMEOUT_S = 15.0
READY_CHECK_S = 0.05
IDLE_S = 1.0
LOAD_PREFIX = "q"
WARM_UP_PREFIX = "w"

RunFault = Callable[[FaultPlan], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class TrialOutcome:
    """The figures of the system and of the baseline, every call, and the bounds."""

    plan: TrialPlan
    figures: Figures
    baseline: Figures | None
    calls: Sequence[CallRecord]
    baseline_calls: Sequence[CallRecord]
    bounds: Sequence[BoundOutcome]

    @property
    def bounds_met(self) -> bool:
        """Tell whether every bound was met."""
        return all(bound.met for bound in self.bounds)

    def summary(self) -> Summary:
        """Return what is shown of the trial."""
        return Summary(self.plan, self.figures, self.baseline, self.bounds)


async def run_trial(plan: TrialPlan) -> TrialOutcome:
    """Run `plan` against the entries, then against the baseline with fresh stand-ins."""
    figures, calls = await _run_system(plan)
    baseline: Figures | None = None
    baseline_calls: list[CallRecord] = []
    if plan.baseline:
        baseline, baseline_calls = await _run_baseline(plan)
    bounds = check_bounds(plan.bounds, figures, baseline)
    return TrialOutcome(plan, figures, baseline, calls, baseline_calls, bounds)


async def _run_system(plan: TrialPlan) -> tuple[Figures, list[CallRecord]]:
    clock = loop_clock(asyncio.get_running_loop())
    joining = {
        name
        for fault in plan.faults
        if fault.kind is FaultKind.ENTRY_JOIN
        for name in fault.targets
    }
    names = plan.region.entry_names()
    stage = await start_stage(plan, dict.fromkeys([*names, *sorted(joining)]))
    fleet = EntryFleet(stage)
    callers = _Callers(plan, clock, fleet.addresses)
    try:
        await asyncio.gather(*(fleet.start(name) for name in names))
        await _wait_until_ready(plan, callers)
        control_cpu_ratio = await _idle_cpu_ratio(fleet)
        await drive(_warm_up(plan), callers.ask, clock, WARM_UP_PREFIX)
        cpu_s, reads = await fleet.cpu_s(), stage.platform_reads

        async def run_any(fault: FaultPlan) -> None:
            await (fleet.run_fault if fault.kind in ENTRY_FAULTS else _on(stage))(fault)

        calls = await _drive_with_faults(plan, callers.ask, clock, run_any)
        cpu_s = await fleet.cpu_s() - cpu_s
        records = [r for r in stage.records if r.request_id.startswith(LOAD_PREFIX)]
        cost = ControlCost(
            cpu_us_per_subrequest=cpu_s * 1e6 / max(1, len(records)),
            control_cpu_ratio=control_cpu_ratio,
            platform_reads_per_s=(stage.platform_reads - reads) * 1000.0 / plan.duration_ms,
        )
        return _figures(plan, stage, calls, cost, fleet.stopped), calls
    finally:
        await callers.close()
        await fleet.stop()
        await stage.stop()


async def _run_baseline(plan: TrialPlan) -> tuple[Figures, list[CallRecord]]:
    clock = loop_clock(asyncio.get_running_loop())
    stage = await start_stage(plan, [BASELINE_ENTRY])
    naive = _Naive(plan, clock, stage)
    try:
        await drive(_warm_up(plan), naive.ask, clock, WARM_UP_PREFIX)

        async def run_any(fault: FaultPlan) -> None:
            if fault.kind not in ENTRY_FAULTS:
                await run_fault(stage, fault)

        calls = await _drive_with_faults(plan, naive.ask, clock, run_any)
        return _figures(plan, stage, calls, ControlCost(), ()), calls
    finally:
        await naive.close()
        await stage.stop()


def _on(stage: Stage) -> RunFault:
    async def run(fault: FaultPlan) -> None:
        await run_fault(stage, fault)

    return run


def _figures(
    plan: TrialPlan,
    stage: Stage,
    calls: Sequence[CallRecord],
    cost: ControlCost,
    stopped: Sequence[str] | set[str],
) -> Figures:
    records = [r for r in stage.records if r.request_id.startswith(LOAD_PREFIX)]
    parts = {collection.name: parts_of(collection) for collection in plan.region.collections}
    violations = count_violations(calls, records, parts, stopped)
    return figures_of(plan, calls, records, violations, cost, stage.connections_over_cap)


def _warm_up(plan: TrialPlan) -> list[Arrival]:
    return arrivals_of(plan.loads_of_warm_up(), plan.warm_up_ms, plan.seed + 1)


async def _drive_with_faults(
    plan: TrialPlan, ask: Ask, clock: Clock, run_one: RunFault
) -> list[CallRecord]:
    async def at_its_time(fault: FaultPlan) -> None:
        await clock.sleep_ms(fault.at_ms)
        await run_one(fault)

    tasks = [asyncio.create_task(at_its_time(fault)) for fault in plan.faults]
    arrivals = arrivals_of(plan.loads, plan.duration_ms, plan.seed)
    calls = await drive(arrivals, ask, clock, LOAD_PREFIX)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    return calls


async def _wait_until_ready(plan: TrialPlan, callers: "_Callers") -> None:
    """Wait until every device gets a complete answer."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for load in plan.loads_of_warm_up():
            for number in range(len(plan.region.data_centres)):
                arrival = Arrival(0.0, number, load)
                while True:
                    record = CallRecord(
                        load.caller, f"ready{number}", load.target, "ready", 0.0, load.deadline_ms
                    )
                    await callers.ask(arrival, record)
                    if record.complete:
                        break
                    await asyncio.sleep(READY_CHECK_S)


async def _idle_cpu_ratio(fleet: EntryFleet) -> float:
    """Return the share of a core that an entry takes without load, on average."""
    before_s = await fleet.cpu_s()
    await asyncio.sleep(IDLE_S)
    return (await fleet.cpu_s() - before_s) / IDLE_S / len(fleet.by_name)


class _Callers:
    """One stand-in of each caller in each data centre; calls go to them in turn."""

    def __init__(
        self, plan: TrialPlan, clock: Clock, first_addresses: Callable[[], Sequence[str]]
    ) -> None:
        random = Random(f"{plan.seed}/callers")
        distance = link_delay(plan.region.to_callers_ms, random)
        self._devices_by_caller: dict[str, list[CallerStandIn]] = {}
        for load in plan.loads:
            self._devices_by_caller[load.caller] = [
                CallerStandIn(load.caller, data_centre, clock, first_addresses, distance)
                for data_centre in plan.region.data_centres
            ]

    async def ask(self, arrival: Arrival, record: CallRecord) -> None:
        """Make one call."""
        devices = self._devices_by_caller[arrival.load.caller]
        await devices[arrival.number % len(devices)].search(record)

    async def close(self) -> None:
        """Close the connections."""
        for devices in self._devices_by_caller.values():
            for device in devices:
                await device.close()


class _Naive:
    """The baseline in each data centre; calls go to them in turn."""

    def __init__(self, plan: TrialPlan, clock: Clock, stage: Stage) -> None:
        self._clock = clock
        self._distance = link_delay(plan.region.to_callers_ms, Random(f"{plan.seed}/callers"))
        parts = {collection.name: parts_of(collection) for collection in plan.region.collections}
        self._callers = []
        for data_centre in plan.region.data_centres:
            random = Random(f"{plan.seed}/baseline/{data_centre}")
            delays = stage.delay_by_address(data_centre, random)
            open_channel = delayed_channels(open_endpoint_channel, delays)
            addresses = stage.addresses_by_service()
            self._callers.append(
                NaiveCaller(
                    clock,
                    random,
                    open_channel,
                    addresses,
                    parts,
                    published=lambda: (stage.shards, stage.index_version),
                )
            )

    async def ask(self, arrival: Arrival, record: CallRecord) -> None:
        """Make one call, as far from the baseline as a caller is from an entry."""
        await self._clock.sleep_ms(self._distance())
        await self._callers[arrival.number % len(self._callers)].ask(record)
        await self._clock.sleep_ms(self._distance())

    async def close(self) -> None:
        """Close the connections."""
        for caller in self._callers:
            await caller.close()
