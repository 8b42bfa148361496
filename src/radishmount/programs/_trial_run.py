"""One trial from end to end: the system under its load and faults, then the baseline."""

import asyncio
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
    arrivals_of,
    check_bounds,
    drive,
    judge_run,
)


__all__ = ["TrialOutcome", "run_trial"]

BASELINE_ENTRY = "baseline"
IDLE_S = 1.0

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
        await asyncio.gather(*(fleet.start(name) for name in names))
        await wait_until_ready(plan, callers)
        control_cpu_ratio = await _idle_cpu_ratio(fleet)
        await drive(warm_up(plan), callers.ask, clock, WARM_UP_PREFIX)
        cpu_s, reads = await fleet.cpu_s(), stage.platform_reads

        async def run_any(fault: FaultPlan) -> None:
            await (fleet.run_fault if fault.kind in ENTRY_FAULTS else _on(stage))(fault)

        calls = await _drive_with_faults(plan, callers.ask, clock, run_any)
        cpu_s = await fleet.cpu_s() - cpu_s
        sub_requests = sum(r.request_id.startswith(LOAD_PREFIX) for r in stage.records)
        cost = ControlCost(
            cpu_us_per_subrequest=cpu_s * 1e6 / max(1, sub_requests),
            control_cpu_ratio=control_cpu_ratio,
            platform_reads_per_s=(stage.platform_reads - reads) * 1000.0 / plan.duration_ms,
        )
        over_cap = stage.connections_over_cap
        return judge_run(plan, calls, stage.records, cost, over_cap, fleet.stopped), calls
    finally:
        await callers.close()
        await fleet.stop()
        await stage.stop()


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
    calls = await drive(arrivals, ask, clock, LOAD_PREFIX)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    return calls


async def _idle_cpu_ratio(fleet: EntryFleet) -> float:
    """Return the share of a core that an entry takes without load, on average."""
    before_s = await fleet.cpu_s()
    await asyncio.sleep(IDLE_S)
    return (await fleet.cpu_s() - before_s) / IDLE_S / len(fleet.by_name)
