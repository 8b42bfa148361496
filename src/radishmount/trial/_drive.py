"""The load: calls at their times, whether or not earlier ones were answered."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from radishmount.clock import Clock
from radishmount.trial._arrivals import Arrival
from radishmount.trial._records import CallRecord


__all__ = ["Ask", "drive"]

LAST_ANSWERS_MS = 5_000.0

Ask = Callable[[Arrival, CallRecord], Awaitable[None]]


async def drive(
    arrivals: Sequence[Arrival], ask: Ask, clock: Clock, prefix: str
) -> list[CallRecord]:
    """Make every call of `arrivals` when it is due, and return what each was told.

    The latency of a call runs from the time that it was due. A call without an answer some
    seconds after the last arrival is given up and counts as lost.
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
        tasks.append(asyncio.create_task(_call(arrival, record, ask, clock, due_at_ms)))
    if tasks:
        _, late = await asyncio.wait(tasks, timeout=LAST_ANSWERS_MS / 1000.0)
        for task in late:
            task.cancel()
        for outcome in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                raise outcome
    return records


async def _call(
    arrival: Arrival, record: CallRecord, ask: Ask, clock: Clock, due_at_ms: float
) -> None:
    await ask(arrival, record)
    record.latency_ms = clock.now_ms() - due_at_ms


def _record_of(arrival: Arrival, prefix: str) -> CallRecord:
    load = arrival.load
    call_id = f"{prefix}{arrival.number}"
    return CallRecord(
        load=load.caller,
        call_id=call_id,
        collection=load.target,
        text=f"words of {call_id}",
        at_ms=arrival.at_ms,
        deadline_ms=load.deadline_ms,
    )
