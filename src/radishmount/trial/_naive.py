"""The baseline: a random endpoint for each shard, and one retry after a time-out."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok

from radishmount.clock import Clock
from radishmount.endpoints import Channel, OpenChannel, SearchTerms, SubReply, SubRequest
from radishmount.publication import KeyRange, Part, Shard, covers
from radishmount.trial._records import CallRecord, RowTold, Told


__all__ = ["NaiveCaller", "row_told"]

TIMEOUT_SHARE = 0.5
TRIES = 2


@dataclass(slots=True)
class NaiveCaller:
    """Fans out over the same endpoints as the entries, without any evidence or limit.

    `published` tells the newest shards and index version.
    """

    clock: Clock
    random: Random
    open_channel: OpenChannel
    addresses_by_service: Mapping[str, Sequence[str]]
    parts_by_collection: Mapping[str, Sequence[Part]]
    published: Callable[[], tuple[Sequence[Shard], int]]
    idle_by_address: dict[str, list[Channel]] = field(default_factory=dict)

    async def ask(self, record: CallRecord) -> None:
        """Answer one call and write into `record` what a caller would be told."""
        deadline_at_ms = self.clock.now_ms() + record.deadline_ms
        published, version = self.published()
        shards = [
            shard
            for shard in published
            if shard.collection == record.collection and shard.is_in(version)
        ]
        record.request_id = record.echoed_request_id = record.call_id
        replies = await asyncio.gather(
            *(
                self._ask_shard(record, shard, version, deadline_at_ms, number)
                for number, shard in enumerate(shards)
            )
        )
        record.told = Told.ANSWER
        record.index_version = version
        answered: list[KeyRange] = []
        rows: list[RowTold] = []
        for shard, reply in zip(shards, replies, strict=True):
            if reply is None:
                continue
            answered.append(shard.keys)
            rows.extend(row_told(row.key, row.fields) for row in reply.rows)
        parts = self.parts_by_collection[record.collection]
        record.rows = tuple(rows)
        record.covered = tuple(part.name for part in parts if covers(answered, part.keys))
        record.missing = tuple(part.name for part in parts if not covers(answered, part.keys))
        record.complete = not record.missing

    async def close(self) -> None:
        """Close every connection."""
        for channels in self.idle_by_address.values():
            for channel in channels:
                await channel.close()

    async def _ask_shard(
        self, record: CallRecord, shard: Shard, version: int, deadline_at_ms: float, number: int
    ) -> SubReply | None:
        for retry in range(TRIES):
            remaining_ms = self.clock.remaining_ms(deadline_at_ms)
            if remaining_ms <= 0.0:
                return None
            timeout_ms = min(remaining_ms, record.deadline_ms * TIMEOUT_SHARE)
            request = SubRequest(
                request_id=record.call_id,
                attempt=number * TRIES + retry,
                shard=shard.name,
                index_version=version,
                deadline_at_ms=deadline_at_ms,
                terms=SearchTerms(record.text, limit=1000),
            )
            reply = await self._try(shard.service, request, timeout_ms)
            if reply is not None:
                return reply
        return None

    async def _try(self, service: str, request: SubRequest, timeout_ms: float) -> SubReply | None:
        address = self.random.choice(self.addresses_by_service[service])
        idle = self.idle_by_address.setdefault(address, [])
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


def row_told(key: str, fields: Mapping[str, object]) -> RowTold:
    """Return what a row of the stand-ins says of its origin."""
    high = fields.get("to")
    return RowTold(
        key=key,
        endpoint=str(fields.get("endpoint", "")),
        request_id=str(fields.get("request_id", "")),
        attempt=int(str(fields.get("attempt", -1))),
        index_version=int(str(fields.get("v", 0))),
        text=str(fields.get("text", "")),
        keys=KeyRange(str(fields.get("from", "")), None if high is None else str(high)),
    )
