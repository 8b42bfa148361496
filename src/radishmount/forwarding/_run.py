"""A forwarded request from end to end."""

from result import Err, Ok

from radishmount.codes import Code, Ran, Refusal
from radishmount.forwarding._gather import Gather
from radishmount.forwarding._outcome import Forwarded, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._records import greatest_records
from radishmount.forwarding._tools import ForwardTools


__all__ = ["forward"]


async def forward(plan: ForwardPlan, tools: ForwardTools) -> Forwarded:
    """Answer `plan` from its endpoints, or tell why not and whether anything ran."""
    gather = Gather(plan, tools)
    await gather.run()
    if plan.is_gather:
        return _merged(gather)
    return _single(gather)


def _single(gather: Gather) -> Forwarded:
    (part,) = gather.parts_by_service.values()
    reply = part.reply or part.spare
    return Ok(reply) if reply is not None else Err(_refusal(gather))


def _merged(gather: Gather) -> Forwarded:
    plan = gather.plan
    replies = [part.reply for part in gather.parts_by_service.values() if part.reply is not None]
    if len(replies) < plan.least_parts:
        return Err(_refusal(gather))
    return Ok(
        MergedAnswer(
            signatures=tuple(reply.signature for reply in replies),
            missing=len(plan.services) - len(replies),
            records=greatest_records((reply.body for reply in replies), plan.route.top_records),
        )
    )


def _refusal(gather: Gather) -> Refusal:
    """Return why there is no answer. What an endpoint may have run is never called not run."""
    for part in gather.parts_by_service.values():
        if any(attempt.sent_at_ms is not None for attempt in part.open_attempts):
            return Refusal(Code.TIMED_OUT, part.service, Ran.UNKNOWN)
    ran = Ran.UNKNOWN if gather.may_have_run else Ran.NOT_RUN
    for part in gather.parts_by_service.values():
        if part.reply is not None:
            continue
        code = Code.NO_ENDPOINT if part.failure is None else part.failure.code
        return Refusal(code, part.service, ran)
    return Refusal(Code.DEADLINE_PASSED, ran=ran)
