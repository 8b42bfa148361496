"""What becomes of a forwarded request."""

from dataclasses import dataclass

from result import Result

from radishmount.codes import Refusal
from radishmount.endpoints import ForwardReply


__all__ = ["ForwardOutcome", "MergedAnswer"]


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The greatest records of the parts that came, one part of each shard.

    `signatures` are those of the parts that are in, `missing_count` is the number of shards
    without.
    """

    signatures: tuple[str, ...]
    missing_count: int
    records: bytes


ForwardOutcome = Result[ForwardReply | MergedAnswer, Refusal]
"""One endpoint's own answer, a merged one, or why there is none and whether anything ran."""
