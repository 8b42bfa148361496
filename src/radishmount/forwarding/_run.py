"""A forwarded request from end to end."""

import asyncio

from result import Err, Ok

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.forwarding._context import ForwardContext
from radishmount.forwarding._execution import ForwardExecution
from radishmount.forwarding._merge import merge_top_records
from radishmount.forwarding._outcome import ForwardOutcome, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._request_record import ForwardVerdict, record_of_forward, verdict_of


__all__ = ["forward"]

SAMPLED_SHARE = 0.05  # of the ordinary answers; counters tell of all of them


async def forward(plan: ForwardPlan, tools: ForwardContext) -> ForwardOutcome:
    """Answer `plan` from its endpoints, or tell why not and whether anything ran."""
    gather = ForwardExecution(plan, tools)
    try:
        await gather.run()
    except asyncio.CancelledError:
        _tell(gather, ForwardVerdict.ABANDONED, None)
        raise
    outcome = _merged(gather) if plan.is_fan_out else _single(gather)
    took_ms = tools.clock.now_ms() - plan.arrived_at_ms
    _tell(gather, verdict_of(plan, outcome, gather.attempts, took_ms), outcome)
    return outcome


def _tell(
    gather: ForwardExecution, verdict: ForwardVerdict, outcome: ForwardOutcome | None
) -> None:
    """Count the end of a request, and hand its record to whoever keeps records."""
    plan, tools = gather.plan, gather.tools
    tools.counters.add("requests", verdict.value)
    tools.observe(plan.route.name, verdict.value, tools.clock.now_ms() - plan.arrived_at_ms)
    if verdict is ForwardVerdict.ANSWERED and tools.random.random() > SAMPLED_SHARE:
        return
    missing = tuple(part.service for part in gather.parts_by_service.values() if part.reply is None)
    tools.on_record(
        record_of_forward(
            plan,
            verdict,
            outcome,
            gather.attempts,
            missing,
            tools.clock,
            tools.view(),
        )
    )


def _single(gather: ForwardExecution) -> ForwardOutcome:
    (part,) = gather.parts_by_service.values()
    reply = part.reply or part.spare
    return Ok(reply) if reply is not None else Err(_refusal(gather))


def _merged(gather: ForwardExecution) -> ForwardOutcome:
    plan = gather.plan
    replies = [part.reply for part in gather.parts_by_service.values() if part.reply is not None]
    if len(replies) < plan.min_replies:
        return Err(_refusal(gather))
    return Ok(
        MergedAnswer(
            signatures=tuple(reply.signature for reply in replies),
            missing_count=len(plan.services) - len(replies),
            records=merge_top_records((reply.body for reply in replies), plan.route.top_records),
        )
    )


def _refusal(gather: ForwardExecution) -> Refusal:
    """Return why there is no answer. What an endpoint may have run is never called not run."""
    for part in gather.parts_by_service.values():
        if any(attempt.sent_at_ms is not None for attempt in part.open_attempts):
            return Refusal(Code.TIMED_OUT, part.service, RunStatus.UNKNOWN)
    ran = RunStatus.UNKNOWN if gather.may_have_run else RunStatus.NOT_RUN
    for part in gather.parts_by_service.values():
        if part.reply is not None:
            continue
        code = Code.NO_ENDPOINT if part.failure is None else part.failure.code
        return Refusal(code, part.service, ran)
    return Refusal(Code.DEADLINE_PASSED, ran=ran)
