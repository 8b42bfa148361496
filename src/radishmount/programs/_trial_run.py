"""One trial from end to end: the system under its load and faults, then the baseline."""

import asyncio
import gc
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from radishmount.clock import Clock, loop_clock
from radishmount.programs._trial_callers import (
    WARM_UP_PREFIX,
    Callers,
    NaiveCallers,
    wait_until_ready,
    warm_up,
)
from radishmount.programs._trial_fleet import EntryFleet
from radishmount.programs._trial_watch import watch_versions
from radishmount.standins import (
    ENTRY_FAULTS,
    Stage,
    run_fault,
    start_stage,
)
from radishmount.trial import (
    LOAD_PREFIX,
    Ask,
    CallRecord,
    ControlCost,
    FaultKind,
    FaultPlan,
    Figures,
    Summary,
    TrialPlan,
    VersionWatch,
    arrivals_of,
    check_bounds,
    drive,
    judge_run,
)


__all__ = ["TrialOutcome", "run_trial"]

BASELINE_ENTRY = "baseline"
START_INTERVAL_S = 0.3

RunFault = Callable[[FaultPlan], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class TrialOutcome:
    """What is shown of a trial, and every call of the system and of the baseline."""

    summary: Summary
    calls: Sequence[CallRecord]
    baseline_calls: Sequence[CallRecord]


async def run_trial(plan: TrialPlan) -> TrialOutcome:
    """Run `plan` against the entries, then against the baseline with fresh stand-ins."""
    figures, calls = await _run_system(plan)
    baseline: Figures | None = None
    baseline_calls: list[CallRecord] = []
    if plan.baseline:
        baseline, baseline_calls = await _run_baseline(plan)
    bounds = check_bounds(plan.bounds, figures, baseline)
    return TrialOutcome(Summary(plan, figures, baseline, bounds), calls, baseline_calls)


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
    callers = Callers(plan, clock, fleet.addresses)
    try:
        # All share one interpreter: together they would hold up each other's first connections.
        for name in names:
            await fleet.start(name)
            await asyncio.sleep(START_INTERVAL_S)
        await wait_until_ready(plan, callers)
        control_cpu_ratio = await _idle_cpu_ratio(fleet, plan.idle_ms)
        await drive(warm_up(plan), callers.ask, clock, WARM_UP_PREFIX)
        before = await _tally(fleet)
        versions = VersionWatch()
        watching = asyncio.create_task(watch_versions(fleet, versions, clock))

        async def run_any(fault: FaultPlan) -> None:
            await (fleet.run_fault if fault.kind in ENTRY_FAULTS else _on(stage))(fault)

        calls = await _drive_with_faults(plan, callers.ask, clock, run_any)
        watching.cancel()
        cost = _cost(plan, before, await _tally(fleet), stage, versions, control_cpu_ratio)
        over_cap = stage.connections_over_cap
        return judge_run(plan, calls, stage.records, cost, over_cap, fleet.stopped), calls
    finally:
        await callers.close()
        await fleet.stop()
        await stage.stop()


@dataclass(frozen=True, slots=True)
class _Tally:
    """What had been used and sent at one time."""

    at_ms: float
    cpu_s: float
    peer_bytes: int
    platform_bytes: int
    platform_reads: int
    probes: int


async def _tally(fleet: EntryFleet) -> _Tally:
    stage = fleet.stage
    return _Tally(
        at_ms=asyncio.get_running_loop().time() * 1000.0,
        cpu_s=await fleet.cpu_s(),
        peer_bytes=fleet.links.carried_bytes,
        platform_bytes=stage.platform_bytes,
        platform_reads=stage.platform_reads,
        probes=stage.probes,
    )


def _cost(
    plan: TrialPlan,
    before: _Tally,
    after: _Tally,
    stage: Stage,
    versions: VersionWatch,
    control_cpu_ratio: float,
) -> ControlCost:
    passed_s = (after.at_ms - before.at_ms) / 1000.0
    sub_requests = sum(r.request_id.startswith(LOAD_PREFIX) for r in stage.records)
    # Every byte between entries is sent by one and received by another.
    entry_bytes = 2 * (after.peer_bytes - before.peer_bytes)
    entry_bytes += after.platform_bytes - before.platform_bytes
    return ControlCost(
        cpu_us_per_subrequest=(after.cpu_s - before.cpu_s) * 1e6 / max(1, sub_requests),
        control_cpu_ratio=control_cpu_ratio,
        control_bytes_per_s=entry_bytes / passed_s / plan.region.entries,
        platform_reads_per_s=(after.platform_reads - before.platform_reads) / passed_s,
        probes_per_s=(after.probes - before.probes) / passed_s,
        config_lag_ms=versions.worst_lag_ms,
        config_went_back=versions.went_back,
    )


async def _run_baseline(plan: TrialPlan) -> tuple[Figures, list[CallRecord]]:
    clock = loop_clock(asyncio.get_running_loop())
    stage = await start_stage(plan, [BASELINE_ENTRY])
    naive = NaiveCallers(plan, clock, stage)
    try:
        await drive(warm_up(plan), naive.ask, clock, WARM_UP_PREFIX)

        async def run_any(fault: FaultPlan) -> None:
            if fault.kind not in ENTRY_FAULTS:
                await run_fault(stage, fault)

        calls = await _drive_with_faults(plan, naive.ask, clock, run_any)
        over_cap = stage.connections_over_cap
        return judge_run(plan, calls, stage.records, ControlCost(), over_cap), calls
    finally:
        await naive.close()
        await stage.stop()


def _on(stage: Stage) -> RunFault:
    async def run(fault: FaultPlan) -> None:
        await run_fault(stage, fault)

    return run


async def _drive_with_faults(
    plan: TrialPlan, ask: Ask, clock: Clock, run_one: RunFault
) -> list[CallRecord]:
    async def at_its_time(fault: FaultPlan) -> None:
        await clock.sleep_ms(fault.at_ms)
        await run_one(fault)

    tasks = [asyncio.create_task(at_its_time(fault)) for fault in plan.faults]
    arrivals = arrivals_of(plan.loads, plan.duration_ms, plan.seed)
    # What stands by now stays to the end: the collector need not look at it during the load.
    gc.freeze()
    calls = await drive(arrivals, ask, clock, LOAD_PREFIX)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    return calls


async def _idle_cpu_ratio(fleet: EntryFleet, idle_ms: float) -> float:
    """Return the share of a core that an entry takes without load, on average."""
    before_s = await fleet.cpu_s()
    await asyncio.sleep(idle_ms / 1000.0)
    return (await fleet.cpu_s() - before_s) * 1000.0 / idle_ms / len(fleet.by_name)
