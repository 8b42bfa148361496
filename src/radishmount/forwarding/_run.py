"""Forwards one request from its plan to its outcome."""

import asyncio

from result import Err, Ok

from radishmount.codes import Code, Refusal, RunStatus
from radishmount.forwarding._context import ForwardContext
from radishmount.forwarding._execution import ForwardExecution
from radishmount.forwarding._merge import merge_top_records
from radishmount.forwarding._outcome import ForwardOutcome, MergedAnswer
from radishmount.forwarding._plan import ForwardPlan
from radishmount.forwarding._request_record import (
    ForwardVerdict,
    determine_verdict,
    make_forward_record,
)
from radishmount.forwarding._service_progress import ServiceProgress


__all__ = ["forward"]

MAX_RETRY_SPREAD = 1.5  # times the earliest moment at which an endpoint takes requests again
SAMPLED_ANSWER_RATIO = 0.05  # of the ordinary answers, which counters count in full


async def forward(plan: ForwardPlan, context: ForwardContext) -> ForwardOutcome:
    """Return the answer to `plan`, or a refusal that says why and whether anything ran."""
    execution = ForwardExecution(plan, context)
    try:
        await execution.run()
    except asyncio.CancelledError:
        _report(execution, ForwardVerdict.ABANDONED, None)
        raise
    outcome = _merged_outcome(execution) if plan.is_fan_out else _single_outcome(execution)
    took_ms = context.clock.now_ms() - plan.arrived_at_ms
    _report(execution, determine_verdict(plan, outcome, execution.attempts, took_ms), outcome)
    return outcome


def _report(
    execution: ForwardExecution, verdict: ForwardVerdict, outcome: ForwardOutcome | None
) -> None:
    """Count a request that has ended and pass on its record; ordinary answers are sampled."""
    plan, context = execution.plan, execution.context
    context.counters.add("requests", verdict.value)
    context.observe(plan.route.name, verdict.value, context.clock.now_ms() - plan.arrived_at_ms)
    if verdict is ForwardVerdict.ANSWERED and context.random.random() > SAMPLED_ANSWER_RATIO:
        return
    missing = tuple(
        progress.service
        for progress in execution.progress_by_service.values()
        if progress.reply is None
    )
    context.on_record(
        make_forward_record(
            plan,
            verdict,
            outcome,
            execution.attempts,
            missing,
            context.clock,
            context.view(),
        )
    )


def _single_outcome(execution: ForwardExecution) -> ForwardOutcome:
    (progress,) = execution.progress_by_service.values()
    reply = progress.reply or progress.error_reply
    return Ok(reply) if reply is not None else Err(_make_refusal(execution))


def _merged_outcome(execution: ForwardExecution) -> ForwardOutcome:
    plan = execution.plan
    replies = [
        progress.reply
        for progress in execution.progress_by_service.values()
        if progress.reply is not None
    ]
    if len(replies) < plan.min_replies:
        return Err(_make_refusal(execution))
    return Ok(
        MergedAnswer(
            signatures=tuple(reply.signature for reply in replies),
            missing_count=len(plan.services) - len(replies),
            records=merge_top_records((reply.body for reply in replies), plan.route.top_records),
        )
    )


def _make_refusal(execution: ForwardExecution) -> Refusal:
    """Return why there is no answer; a request that may have run is never reported as not run."""
    for progress in execution.progress_by_service.values():
        if any(attempt.sent_at_ms is not None for attempt in progress.open_attempts):
            return Refusal(Code.TIMED_OUT, progress.service, RunStatus.UNKNOWN)
    ran = RunStatus.UNKNOWN if execution.may_have_run else RunStatus.NOT_RUN
    retry_after_ms = _retry_after_ms(execution) if ran is RunStatus.NOT_RUN else None
    for progress in execution.progress_by_service.values():
        if progress.reply is not None:
            continue
        code = _code_of(progress, execution.context)
        return Refusal(code, progress.service, ran, retry_after_ms)
    return Refusal(Code.DEADLINE_PASSED, ran=ran)


def _code_of(progress: ServiceProgress, context: ForwardContext) -> Code:
    """Return why a service has no reply."""
    if progress.last_failure is not None:
        return progress.last_failure.code
    now_ms = context.clock.now_ms()
    endpoints = list(context.pool.endpoints_of(progress.service))
    if any(endpoint.is_held_back(now_ms) for endpoint in endpoints if not endpoint.is_evacuated):
        context.counters.add("cold_refusals", progress.service)
        return Code.ENDPOINT_COLD
    if any(endpoint.is_evacuated for endpoint in endpoints):
        return Code.DATA_CENTRE_EVACUATED
    return Code.NO_ENDPOINT


def _retry_after_ms(execution: ForwardExecution) -> float | None:
    """Return when a service without a reply has an endpoint again, None if it has one now.

    Evacuated endpoints do not count, as nobody knows when the evacuation ends.
    The time is spread, so that callers who were refused together do not come back together.
    """
    context = execution.context
    now_ms = context.clock.now_ms()
    waits_ms = [0.0]
    for progress in execution.progress_by_service.values():
        if progress.reply is not None:
            continue
        endpoints = [e for e in context.pool.endpoints_of(progress.service) if not e.is_evacuated]
        pauses_ms = [e.paused_until_ms - now_ms for e in endpoints if e.is_paused(now_ms)]
        pauses_ms += [e.cold_wait_ms(now_ms) for e in endpoints if e.is_held_back(now_ms)]
        if pauses_ms and not any(endpoint.is_available(now_ms) for endpoint in endpoints):
            waits_ms.append(min(pauses_ms))
    wait_ms = max(waits_ms)
    return wait_ms * context.random.uniform(1.0, MAX_RETRY_SPREAD) if wait_ms else None
