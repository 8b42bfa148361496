"""Open-loop load generation: makes each call when it is due, answered earlier calls or not."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from radishmount.clock import Clock
from radishmount.trial._arrivals import Arrival
from radishmount.trial._records import CallRecord


__all__ = ["MakeCall", "drive"]

DRAIN_TIMEOUT_MS = 5_000.0

MakeCall = Callable[[Arrival, CallRecord], Awaitable[None]]


async def drive(
    arrivals: Sequence[Arrival], make_call: MakeCall, clock: Clock, prefix: str
) -> list[CallRecord]:
    """Make every call of `arrivals` when it is due, and return their records.

    `prefix` starts the id of each call. The latency of a call is measured from the time at which
    it was due. A call without an answer `DRAIN_TIMEOUT_MS` after the last arrival is cancelled and
    counts as lost. Raises the first exception that a call raised.
    """
    began_at_ms = clock.now_ms()
    records: list[CallRecord] = []
    tasks: list[asyncio.Task[None]] = []
    for arrival in arrivals:
        wait_ms = began_at_ms + arrival.at_ms - clock.now_ms()
        if wait_ms > 0.0:
            await clock.sleep_ms(wait_ms)
        record = _record_of(arrival, prefix)
        records.append(record)
        due_at_ms = began_at_ms + arrival.at_ms
        tasks.append(asyncio.create_task(_call(arrival, record, make_call, clock, due_at_ms)))
    if tasks:
        _, unanswered = await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_MS / 1000.0)
        for task in unanswered:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
    return records


async def _call(
    arrival: Arrival, record: CallRecord, make_call: MakeCall, clock: Clock, due_at_ms: float
) -> None:
    await make_call(arrival, record)
    record.latency_ms = clock.now_ms() - due_at_ms


def _record_of(arrival: Arrival, prefix: str) -> CallRecord:
    load = arrival.load
    call_id = f"{prefix}{arrival.number}"
    return CallRecord(
        caller=load.caller,
        call_id=call_id,
        collection=load.target,
        text=f"words of {call_id}",
        at_ms=arrival.at_ms,
        deadline_ms=load.deadline_ms,
    )
