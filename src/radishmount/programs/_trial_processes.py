"""Runs a trial in several processes: the stand-ins, each entry, and the load each have their own.

The operator starts `radishmount-entry` once for each settings file that the stand-ins wrote. In
this mode the links between data centres have no delay, and the operator injects the faults of
entries.
"""

import asyncio
import json
import signal
import socket
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from result import Err, Ok, Result

from radishmount.border import EntrySettings, SocketAddress, parse_address, read_jsonc
from radishmount.clock import loop_clock
from radishmount.codes import Refusal
from radishmount.programs._trial_callers import (
    WARM_UP_PREFIX,
    Callers,
    wait_until_ready,
    warm_up_arrivals,
)
from radishmount.programs._trial_fleet import entry_settings
from radishmount.standins import (
    EntryUsage,
    ListedInstance,
    StandInControlClient,
    StandInControlServer,
    read_usage,
    serve_stand_in,
    start_simulated_region,
)
from radishmount.trial import (
    LOAD_PREFIX,
    ControlCost,
    Summary,
    TrialPlan,
    arrivals_of,
    check_bounds,
    drive,
    evaluate_run,
)


__all__ = ["drive_processes", "serve_standins"]

CONTROL_FILE = "standins.json"
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class StandInsFile:
    """The content of `standins.json`, by which the load finds the stand-ins and the entries.

    `callers` and `operators` are the addresses at which the entries serve callers and operators.
    """

    control: SocketAddress
    callers: list[str]
    operators: list[str]


async def serve_standins(plan: TrialPlan, folder: Path) -> None:
    """Serve the stand-ins of `plan` until SIGTERM or SIGINT.

    Writes a settings file for each entry, and `standins.json` for the load, into `folder`.
    """
    names = plan.region.entry_names()
    simulated_region = await start_simulated_region(plan, names)
    control = await serve_stand_in(StandInControlServer(simulated_region).app())
    settings = [_with_free_ports(entry_settings(simulated_region, name)) for name in names]
    await simulated_region.list_instances(*(_listed_instance(item) for item in settings))
    await asyncio.to_thread(_write_settings, folder, settings, control.address)
    await _wait_for_signal()
    await control.stop()
    await simulated_region.stop()


async def drive_processes(plan: TrialPlan, folder: Path) -> Result[Summary, Refusal]:
    """Drive the load of `plan` against entries that were started from the settings in `folder`.

    Fails when `standins.json` in `folder` cannot be read.
    """
    match _read_standins_file(folder / CONTROL_FILE):
        case Err(refusal):
            return Err(refusal)
        case Ok(stand_ins):
            pass
    clock = loop_clock(asyncio.get_running_loop())
    control_client = StandInControlClient(stand_ins.control)
    callers = Callers(plan, clock, lambda: stand_ins.callers)
    try:
        await wait_until_ready(plan, callers)
        idle_usage = await _idle_usage(stand_ins.operators, plan.idle_ms)
        await drive(warm_up_arrivals(plan), callers.call, clock, WARM_UP_PREFIX)
        await control_client.begin()
        arrivals = arrivals_of(plan.loads, plan.duration_ms, plan.seed)
        before = await read_usage(stand_ins.operators)
        calls = await drive(arrivals, callers.call, clock, LOAD_PREFIX)
        after = await read_usage(stand_ins.operators)
        recorded = await control_client.records()
    finally:
        await callers.close()
    reads_per_s = recorded.platform_reads * 1000.0 / plan.duration_ms
    cost = ControlCost(
        cpu_us_per_subrequest=_cpu_us(before, after, len(recorded.records)),
        control_cpu_ratio=idle_usage.cpu_s,
        control_bytes_per_s=idle_usage.control_bytes,
        platform_reads_per_s=reads_per_s,
    )
    figures = evaluate_run(plan, calls, recorded.records, cost, recorded.connections_over_cap)
    return Ok(Summary(plan, figures, None, check_bounds(plan.bounds, figures, None)))


async def _idle_usage(operators: Sequence[str], idle_ms: float) -> EntryUsage:
    """Return the mean usage of one entry in one second without load."""
    before = await read_usage(operators)
    await asyncio.sleep(idle_ms / 1000.0)
    after = await read_usage(operators)
    per_entry_and_second = 1000.0 / idle_ms / max(1, after.entries)
    return EntryUsage(
        entries=1,
        cpu_s=(after.cpu_s - before.cpu_s) * per_entry_and_second,
        control_bytes=(after.control_bytes - before.control_bytes) * per_entry_and_second,
    )


def _cpu_us(before: EntryUsage, after: EntryUsage, sub_requests: int) -> float | None:
    """Return the CPU time per sub-request; None when an entry started or ended meanwhile."""
    if before.entries != after.entries or not sub_requests:
        return None
    return (after.cpu_s - before.cpu_s) * 1e6 / sub_requests


def _read_standins_file(path: Path) -> Result[StandInsFile, Refusal]:
    match read_jsonc(path):
        case Err(refusal):
            return Err(refusal)
        case Ok(content):
            return Ok(
                StandInsFile(
                    parse_address(content["control"]), content["callers"], content["operators"]
                )
            )


def _write_settings(
    folder: Path, settings: Sequence[EntrySettings], control: SocketAddress
) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for item in settings:
        text = json.dumps(_settings_content(item), indent=2)
        (folder / f"{item.name}.jsonc").write_text(text, encoding="utf-8")
    callers = [str(item.caller_listen_address) for item in settings]
    operators = [str(item.operator_listen_address) for item in settings]
    content = {"control": str(control), "callers": callers, "operators": operators}
    text = json.dumps(content, indent=2)
    (folder / CONTROL_FILE).write_text(text, encoding="utf-8")


def _with_free_ports(settings: EntrySettings) -> EntrySettings:
    return replace(
        settings,
        caller_listen_address=_free_port(),
        operator_listen_address=_free_port(),
        peer_listen_address=_free_port(),
    )


def _free_port() -> SocketAddress:
    """Return the address of a port that is free now; the entry binds it when it is started."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return SocketAddress(LOOPBACK, probe.getsockname()[1])


def _listed_instance(settings: EntrySettings) -> ListedInstance:
    return ListedInstance(
        settings.name,
        "entry",
        settings.data_centre,
        "live",
        str(settings.caller_listen_address),
        str(settings.peer_listen_address),
    )


def _settings_content(settings: EntrySettings) -> dict[str, str]:
    return {
        "name": settings.name,
        "data_centre": settings.data_centre,
        "caller_address": str(settings.caller_listen_address),
        "operator_address": str(settings.operator_listen_address),
        "peer_address": str(settings.peer_listen_address),
        "platform": settings.platform,
        "peer_key": settings.peer_key,
    }


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
