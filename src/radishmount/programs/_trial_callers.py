"""The callers of a trial: those that call the entries, and those of the baseline."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from radishmount.border import open_endpoint_channel
from radishmount.clock import Clock
from radishmount.standins import CallerStandIn, SimulatedRegion, delayed_channels, link_delay
from radishmount.trial import (
    Arrival,
    BaselineCaller,
    CallRecord,
    TrialPlan,
    arrivals_of,
    parts_of,
)


__all__ = ["WARM_UP_PREFIX", "BaselineCallers", "Callers", "wait_until_ready", "warm_up_arrivals"]

READY_TIMEOUT_S = 15.0
READY_POLL_INTERVAL_S = 0.05
WARM_UP_PREFIX = "w"


def warm_up_arrivals(plan: TrialPlan) -> list[Arrival]:
    """Return the arrivals of the warm-up."""
    return arrivals_of(plan.warm_up_loads(), plan.warm_up_ms, plan.seed + 1)


async def wait_until_ready(plan: TrialPlan, callers: "Callers") -> None:
    """Wait until every caller stand-in gets a complete answer.

    Raises TimeoutError after `READY_TIMEOUT_S`.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        for load in plan.warm_up_loads():
            for number in range(len(plan.region.data_centres)):
                arrival = Arrival(0.0, number, load)
                while True:
                    record = CallRecord(
                        load.caller, f"ready{number}", load.target, "ready", 0.0, load.deadline_ms
                    )
                    await callers.call(arrival, record)
                    if record.complete:
                        break
                    await asyncio.sleep(READY_POLL_INTERVAL_S)


class Callers:
    """One stand-in for each caller in each data centre; calls are spread over them in turn."""

    def __init__(
        self, plan: TrialPlan, clock: Clock, first_addresses: Callable[[], Sequence[str]]
    ) -> None:
        random = Random(f"{plan.seed}/callers")
        network_delay_ms = link_delay(plan.region.to_callers_ms, random)
        self._stand_ins_by_caller: dict[str, list[CallerStandIn]] = {}
        for load in plan.loads:
            self._stand_ins_by_caller[load.caller] = [
                CallerStandIn(
                    load.caller,
                    data_centre,
                    clock,
                    first_addresses,
                    network_delay_ms,
                    load.move_on_ms,
                )
                for data_centre in plan.region.data_centres
            ]

    async def call(self, arrival: Arrival, record: CallRecord) -> None:
        """Make one call and write its outcome into `record`."""
        stand_ins = self._stand_ins_by_caller[arrival.load.caller]
        await stand_ins[arrival.number % len(stand_ins)].search(record)

    async def close(self) -> None:
        """Close the connections."""
        for stand_ins in self._stand_ins_by_caller.values():
            for stand_in in stand_ins:
                await stand_in.close()


class BaselineCallers:
    """One baseline caller in each data centre; calls are spread over them in turn."""

    def __init__(self, plan: TrialPlan, clock: Clock, simulated_region: SimulatedRegion) -> None:
        self._clock = clock
        self._network_delay_ms = link_delay(
            plan.region.to_callers_ms, Random(f"{plan.seed}/callers")
        )
        parts = {collection.name: parts_of(collection) for collection in plan.region.collections}
        self._callers = []
        for data_centre in plan.region.data_centres:
            random = Random(f"{plan.seed}/baseline/{data_centre}")
            delays = simulated_region.delay_by_address(data_centre, random)
            open_channel = delayed_channels(open_endpoint_channel, delays)
            addresses = simulated_region.addresses_by_service()
            self._callers.append(
                BaselineCaller(
                    clock,
                    random,
                    open_channel,
                    addresses,
                    parts,
                    read_shards=lambda: (simulated_region.shards, simulated_region.index_version),
                )
            )

    async def call(self, arrival: Arrival, record: CallRecord) -> None:
        """Make one call, with the network delay that a call to an entry has each way."""
        await self._clock.sleep_ms(self._network_delay_ms())
        await self._callers[arrival.number % len(self._callers)].call(record)
        await self._clock.sleep_ms(self._network_delay_ms())

    async def close(self) -> None:
        """Close the connections."""
        for caller in self._callers:
            await caller.close()
