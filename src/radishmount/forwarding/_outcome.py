"""The outcome of a forwarded request."""

from dataclasses import dataclass

from result import Result

from radishmount.codes import Refusal
from radishmount.endpoints import ForwardReply


__all__ = ["ForwardOutcome", "MergedAnswer"]


@dataclass(frozen=True, slots=True)
class MergedAnswer:
    """The greatest records of the replies of all shards.

    `signatures` are those of the replies that were merged; `missing_count` is the number of
    shards that did not reply.
    """

    signatures: tuple[str, ...]
    missing_count: int
    records: bytes


ForwardOutcome = Result[ForwardReply | MergedAnswer, Refusal]
"""One endpoint's reply, a merged answer, or a refusal that says whether anything ran."""
