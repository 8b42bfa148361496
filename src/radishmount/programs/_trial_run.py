"""Runs one trial in this process: the entries under load and faults, then the baseline."""

import asyncio
import gc
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from radishmount.clock import Clock, loop_clock
from radishmount.programs._trial_callers import (
    WARM_UP_PREFIX,
    BaselineCallers,
    Callers,
    wait_until_ready,
    warm_up_arrivals,
)
from radishmount.programs._trial_fleet import EntryFleet
from radishmount.programs._trial_version_monitor import monitor_versions
from radishmount.standins import (
    INSTANCE_FAULTS,
    SimulatedRegion,
    run_fault,
    start_simulated_region,
)
from radishmount.trial import (
    LOAD_PREFIX,
    CallRecord,
    ControlCost,
    FaultKind,
    FaultPlan,
    Figures,
    MakeCall,
    Summary,
    TrialPlan,
    VersionMonitor,
    arrivals_of,
    check_bounds,
    drive,
    evaluate_run,
)


__all__ = ["TrialOutcome", "run_trial"]

BASELINE_ENTRY = "baseline"
ENTRY_START_INTERVAL_S = 0.3

RunFault = Callable[[FaultPlan], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class TrialOutcome:
    """The summary of a trial, and every call to the entries and of the baseline."""

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
    joining_names = {
        name
        for fault in plan.faults
        if fault.kind is FaultKind.ENTRY_JOIN
        for name in fault.targets
    }
    initial_names = plan.region.entry_names()
    simulated_region = await start_simulated_region(
        plan, dict.fromkeys([*initial_names, *sorted(joining_names)])
    )
    fleet = EntryFleet(simulated_region)
    callers = Callers(plan, clock, fleet.addresses)
    try:
        # The entries share one interpreter; started all at once, they would delay each other's
        # first connections.
        for name in initial_names:
            await fleet.start(name)
            await asyncio.sleep(ENTRY_START_INTERVAL_S)
        await wait_until_ready(plan, callers)
        control_cpu_ratio = await _idle_cpu_ratio(fleet, plan.idle_ms)
        await drive(warm_up_arrivals(plan), callers.call, clock, WARM_UP_PREFIX)
        before = await _resource_totals(fleet)
        version_monitor = VersionMonitor()
        monitoring = asyncio.create_task(monitor_versions(fleet, version_monitor, clock))

        async def run_any_fault(fault: FaultPlan) -> None:
            await (
                fleet.run_fault
                if fault.kind in INSTANCE_FAULTS
                else _region_fault_runner(simulated_region)
            )(fault)

        calls = await _drive_with_faults(plan, callers.call, clock, run_any_fault)
        monitoring.cancel()
        cost = _control_cost(
            plan,
            before,
            await _resource_totals(fleet),
            simulated_region,
            version_monitor,
            control_cpu_ratio,
        )
        over_cap = simulated_region.connections_over_cap
        return (
            evaluate_run(
                plan, calls, simulated_region.records, cost, over_cap, fleet.stopped_gracefully
            ),
            calls,
        )
    finally:
        await callers.close()
        await fleet.stop()
        await simulated_region.stop()


@dataclass(frozen=True, slots=True)
class _ResourceTotals:
    """Running totals of the resources that the entries have used, read at `at_ms`."""

    at_ms: float
    cpu_s: float
    peer_bytes: int
    platform_bytes: int
    platform_reads: int
    probes: int


async def _resource_totals(fleet: EntryFleet) -> _ResourceTotals:
    simulated_region = fleet.simulated_region
    return _ResourceTotals(
        at_ms=asyncio.get_running_loop().time() * 1000.0,
        cpu_s=await fleet.cpu_s(),
        peer_bytes=fleet.links.carried_bytes,
        platform_bytes=simulated_region.platform_bytes,
        platform_reads=simulated_region.platform_reads,
        probes=simulated_region.probes,
    )


def _control_cost(
    plan: TrialPlan,
    before: _ResourceTotals,
    after: _ResourceTotals,
    simulated_region: SimulatedRegion,
    version_monitor: VersionMonitor,
    control_cpu_ratio: float,
) -> ControlCost:
    passed_s = (after.at_ms - before.at_ms) / 1000.0
    sub_requests = sum(
        record.request_id.startswith(LOAD_PREFIX) for record in simulated_region.records
    )
    # A byte between two entries counts twice: one sends it and the other receives it.
    entry_bytes = 2 * (after.peer_bytes - before.peer_bytes)
    entry_bytes += after.platform_bytes - before.platform_bytes
    return ControlCost(
        cpu_us_per_subrequest=(after.cpu_s - before.cpu_s) * 1e6 / max(1, sub_requests),
        control_cpu_ratio=control_cpu_ratio,
        control_bytes_per_s=entry_bytes / passed_s / plan.region.entries,
        platform_reads_per_s=(after.platform_reads - before.platform_reads) / passed_s,
        probes_per_s=(after.probes - before.probes) / passed_s,
        config_lag_ms=version_monitor.worst_lag_ms,
        config_went_back=version_monitor.regressions,
    )


async def _run_baseline(plan: TrialPlan) -> tuple[Figures, list[CallRecord]]:
    clock = loop_clock(asyncio.get_running_loop())
    simulated_region = await start_simulated_region(plan, [BASELINE_ENTRY])
    callers = BaselineCallers(plan, clock, simulated_region)
    try:
        await drive(warm_up_arrivals(plan), callers.call, clock, WARM_UP_PREFIX)

        async def run_region_fault(fault: FaultPlan) -> None:
            if fault.kind not in INSTANCE_FAULTS:
                await run_fault(simulated_region, fault)

        calls = await _drive_with_faults(plan, callers.call, clock, run_region_fault)
        over_cap = simulated_region.connections_over_cap
        return evaluate_run(plan, calls, simulated_region.records, ControlCost(), over_cap), calls
    finally:
        await callers.close()
        await simulated_region.stop()


def _region_fault_runner(simulated_region: SimulatedRegion) -> RunFault:
    async def run(fault: FaultPlan) -> None:
        await run_fault(simulated_region, fault)

    return run


async def _drive_with_faults(
    plan: TrialPlan, make_call: MakeCall, clock: Clock, run_one_fault: RunFault
) -> list[CallRecord]:
    async def run_when_due(fault: FaultPlan) -> None:
        await clock.sleep_ms(fault.at_ms)
        await run_one_fault(fault)

    tasks = [asyncio.create_task(run_when_due(fault)) for fault in plan.faults]
    arrivals = arrivals_of(plan.loads, plan.duration_ms, plan.seed)
    # Every object that exists now lives until the end of the run, so the garbage collector need
    # not traverse it during the load.
    gc.freeze()
    calls = await drive(arrivals, make_call, clock, LOAD_PREFIX)
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome
    return calls


async def _idle_cpu_ratio(fleet: EntryFleet, idle_ms: float) -> float:
    """Return the mean share of a core that an entry uses without load."""
    before_s = await fleet.cpu_s()
    await asyncio.sleep(idle_ms / 1000.0)
    return (await fleet.cpu_s() - before_s) * 1000.0 / idle_ms / len(fleet.by_name)
