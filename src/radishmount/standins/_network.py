"""The distance between data centres, laid over channels to endpoints."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from result import Result

from radishmount.endpoints import (
    Channel,
    Failure,
    LoadReport,
    OpenChannel,
    SubRequest,
    SubRequestOutcome,
)


__all__ = ["delayed_channels", "link_delay"]

SPREAD_SHARE = 0.25

DelayMs = Callable[[], float]


def link_delay(mean_ms: float, random: Random) -> DelayMs:
    """Return a function that draws one-way delays about `mean_ms`."""

    def draw() -> float:
        return mean_ms * (1.0 - SPREAD_SHARE + random.expovariate(1.0 / SPREAD_SHARE))

    return draw


def delayed_channels(
    open_channel: OpenChannel, delay_by_address: Mapping[str, DelayMs]
) -> OpenChannel:
    """Return `open_channel` with a delay in each direction to the addresses that have one."""

    def open_delayed(address: str) -> Channel:
        channel = open_channel(address)
        delay = delay_by_address.get(address)
        return channel if delay is None else DelayedChannel(channel, delay)

    return open_delayed


class DelayedChannel:
    """A channel to another data centre."""

    def __init__(self, channel: Channel, delay: DelayMs) -> None:
        self._channel = channel
        self._delay = delay

    async def exchange(self, request: SubRequest, remaining_ms: float) -> SubRequestOutcome:
        """Send `request` and return the reply, each after the delay of the link."""
        there_ms = self._delay()
        await asyncio.sleep(there_ms / 1000.0)
        outcome = await self._channel.exchange(request, max(0.0, remaining_ms - there_ms))
        await asyncio.sleep(self._delay() / 1000.0)
        return outcome

    async def probe(self) -> Result[LoadReport, Failure]:
        """Ask the endpoint for its state, each way after the delay of the link."""
        await asyncio.sleep(self._delay() / 1000.0)
        outcome = await self._channel.probe()
        await asyncio.sleep(self._delay() / 1000.0)
        return outcome

    async def close(self) -> bool:
        """Close the connection; tell whether the endpoint was seen to close its side."""
        return await self._channel.close()

    def __getattr__(self, name: str) -> Any:
        """Hand everything else to the channel itself, without delay."""
        return getattr(self._channel, name)
