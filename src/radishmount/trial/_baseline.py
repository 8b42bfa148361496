"""The baseline of a trial: a random endpoint for each shard, and one retry after a failure."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok

from radishmount.clock import Clock
from radishmount.endpoints import Channel, OpenChannel, SearchTerms, SubReply, SubRequest
from radishmount.publication import KeyRange, Part, Shard, covers
from radishmount.trial._records import CallOutcome, CallRecord, RowOrigin


__all__ = ["BaselineCaller", "row_origin"]

ATTEMPT_TIMEOUT_RATIO = 0.5
MAX_ATTEMPTS = 2


@dataclass(slots=True)
class BaselineCaller:
    """Fans out to the same endpoints as the entries, without health tracking, hedges or limits.

    `read_shards` returns the published shards and the newest index version.
    """

    clock: Clock
    random: Random
    open_channel: OpenChannel
    addresses_by_service: Mapping[str, Sequence[str]]
    parts_by_collection: Mapping[str, Sequence[Part]]
    read_shards: Callable[[], tuple[Sequence[Shard], int]]
    idle_channels_by_address: dict[str, list[Channel]] = field(default_factory=dict)

    async def call(self, record: CallRecord) -> None:
        """Fan out one call and write the answer that a caller would get into `record`."""
        deadline_at_ms = self.clock.now_ms() + record.deadline_ms
        published_shards, version = self.read_shards()
        shards = [
            shard
            for shard in published_shards
            if shard.collection == record.collection and shard.is_in(version)
        ]
        record.request_id = record.echoed_request_id = record.call_id
        replies = await asyncio.gather(
            *(
                self._search_shard(record, shard, version, deadline_at_ms, number)
                for number, shard in enumerate(shards)
            )
        )
        record.outcome = CallOutcome.ANSWER
        record.index_version = version
        answered_ranges: list[KeyRange] = []
        rows: list[RowOrigin] = []
        for shard, reply in zip(shards, replies, strict=True):
            if reply is None:
                continue
            answered_ranges.append(shard.keys)
            rows.extend(row_origin(row.key, row.fields) for row in reply.rows)
        parts = self.parts_by_collection[record.collection]
        record.rows = tuple(rows)
        record.covered = tuple(part.name for part in parts if covers(answered_ranges, part.keys))
        record.missing = tuple(
            part.name for part in parts if not covers(answered_ranges, part.keys)
        )
        record.complete = not record.missing

    async def close(self) -> None:
        """Close every connection."""
        for channels in self.idle_channels_by_address.values():
            for channel in channels:
                await channel.close()

    async def _search_shard(
        self, record: CallRecord, shard: Shard, version: int, deadline_at_ms: float, number: int
    ) -> SubReply | None:
        for retry in range(MAX_ATTEMPTS):
            remaining_ms = self.clock.remaining_ms(deadline_at_ms)
            if remaining_ms <= 0.0:
                return None
            timeout_ms = min(remaining_ms, record.deadline_ms * ATTEMPT_TIMEOUT_RATIO)
            request = SubRequest(
                request_id=record.call_id,
                attempt=number * MAX_ATTEMPTS + retry,
                shard=shard.name,
                index_version=version,
                deadline_at_ms=deadline_at_ms,
                terms=SearchTerms(record.text, limit=1000),
            )
            reply = await self._attempt(shard.service, request, timeout_ms)
            if reply is not None:
                return reply
        return None

    async def _attempt(
        self, service: str, request: SubRequest, timeout_ms: float
    ) -> SubReply | None:
        address = self.random.choice(self.addresses_by_service[service])
        idle = self.idle_channels_by_address.setdefault(address, [])
        channel = idle.pop() if idle else self.open_channel(address)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                outcome = await channel.exchange(request, timeout_ms)
        except TimeoutError:
            await channel.close()
            return None
        match outcome:
            case Ok(reply):
                idle.append(channel)
                return reply
            case Err(failure):
                if failure.load is None:
                    await channel.close()
                else:
                    idle.append(channel)
                return None


def row_origin(key: str, fields: Mapping[str, object]) -> RowOrigin:
    """Return the origin of a row, from the fields that the endpoint stand-in wrote into it."""
    high = fields.get("to")
    return RowOrigin(
        key=key,
        endpoint=str(fields.get("endpoint", "")),
        request_id=str(fields.get("request_id", "")),
        attempt=int(str(fields.get("attempt", -1))),
        index_version=int(str(fields.get("v", 0))),
        text=str(fields.get("text", "")),
        keys=KeyRange(str(fields.get("from", "")), None if high is None else str(high)),
    )
