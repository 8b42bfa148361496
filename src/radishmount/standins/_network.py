"""Simulated network delay between data centres, added to channels to endpoints."""

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

JITTER_SHARE = 0.25

DelayMs = Callable[[], float]


def link_delay(mean_ms: float, random: Random) -> DelayMs:
    """Return a function that draws random one-way delays with the mean `mean_ms`."""

    def draw_delay_ms() -> float:
        return mean_ms * (1.0 - JITTER_SHARE + random.expovariate(1.0 / JITTER_SHARE))

    return draw_delay_ms


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
    """A channel to another data centre, with a delay in each direction."""

    def __init__(self, channel: Channel, delay: DelayMs) -> None:
        self._channel = channel
        self._delay = delay

    async def exchange(self, request: SubRequest, remaining_ms: float) -> SubRequestOutcome:
        """Send `request` and return its outcome, each after the delay of the link."""
        request_delay_ms = self._delay()
        await asyncio.sleep(request_delay_ms / 1000.0)
        outcome = await self._channel.exchange(request, max(0.0, remaining_ms - request_delay_ms))
        await asyncio.sleep(self._delay() / 1000.0)
        return outcome

    async def probe(self) -> Result[LoadReport, Failure]:
        """Ask the endpoint for its load report, with the delay of the link in each direction."""
        await asyncio.sleep(self._delay() / 1000.0)
        outcome = await self._channel.probe()
        await asyncio.sleep(self._delay() / 1000.0)
        return outcome

    async def close(self) -> bool:
        """Close the connection; return whether the endpoint was seen to close its side."""
        return await self._channel.close()

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else to the wrapped channel, without delay."""
        return getattr(self._channel, name)
