"""The read-only HTTP API for operators.

It serves health, readiness, status, audit, explanations of requests and metrics, on the operator
address of an instance:

    curl http://127.0.0.1:8081/audit?subject=publication&since=40
"""

from dataclasses import asdict
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from result import Err, Ok

from radishmount.audit import AuditLine
from radishmount.border._http import HttpService, make_http_app, request_id_of
from radishmount.border._metrics import MeteredService, RequestMetrics, render_metrics
from radishmount.border._models import BorderModel, DigitString, read_query
from radishmount.border._responses import json_response, refusal_response
from radishmount.codes import Code, Refusal
from radishmount.queries import ExplainableRecord


__all__ = ["OperatorService", "make_operator_app"]

MAX_BODY_BYTES = 1024


class OperatorService(HttpService, MeteredService, Protocol):
    """What the HTTP API for operators needs; implemented by `Node` and `Gateway`."""

    def is_ready(self) -> bool:
        """Return whether the instance accepts requests."""

    def status(self) -> dict[str, Any]:
        """Return the state of the instance as JSON values."""

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a slow, partial or refused request, or None if none is kept."""


class AuditQueryModel(BorderModel):
    """The query of a request for audit lines."""

    subject: str = ""
    since: DigitString = "0"


def make_operator_app(
    service: OperatorService, metrics: RequestMetrics | None = None
) -> web.Application:
    """Return the HTTP application that shows the state of `service` to operators.

    `metrics` are those of the HTTP API for callers.
    """
    caller_metrics = metrics or RequestMetrics()

    async def health(request: web.Request) -> web.Response:
        return json_response({"alive": True}, request_id_of(request))

    async def ready(request: web.Request) -> web.Response:
        is_ready = service.is_ready() and not service.is_leaving()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response({"ready": is_ready}, request_id_of(request), status)

    async def status(request: web.Request) -> web.Response:
        return json_response(service.status(), request_id_of(request))

    async def audit(request: web.Request) -> web.Response:
        match read_query(AuditQueryModel, request.query):
            case Err(refusal):
                return refusal_response(refusal, request_id_of(request))
            case Ok(model):
                pass
        lines = [
            asdict(line)
            for line in service.audit.lines
            if line.sequence > int(model.since) and _is_about(line, model.subject)
        ]
        content = {"lines": lines, "last_sequence": service.audit.sequence}
        return json_response(content, request_id_of(request))

    async def explain(request: web.Request) -> web.Response:
        wanted = request.match_info["request_id"]
        record = service.explain(wanted)
        if record is None:
            refusal = Refusal(Code.UNKNOWN_REQUEST, detail=wanted)
            return refusal_response(refusal, request_id_of(request))
        return json_response(_record_content(record), request_id_of(request))

    async def show_metrics(request: web.Request) -> web.Response:
        body, content_type = render_metrics(service, caller_metrics)
        return web.Response(body=body, headers={"Content-Type": content_type})

    app = make_http_app(service, RequestMetrics(), max_body_bytes=MAX_BODY_BYTES)
    app.router.add_get("/health", health)
    app.router.add_get("/ready", ready)
    app.router.add_get("/status", status)
    app.router.add_get("/audit", audit)
    app.router.add_get("/explain/{request_id}", explain)
    app.router.add_get("/metrics", show_metrics)
    return app


def _is_about(line: AuditLine, subject: str) -> bool:
    """Return whether the subject of `line` is `subject`, or is below it as `endpoint/a` is."""
    return not subject or line.subject == subject or line.subject.startswith(f"{subject}/")


def _record_content(record: ExplainableRecord) -> dict[str, Any]:
    """Return the record as JSON values; a code becomes its number and name."""
    content = asdict(record)
    if record.code is not None:
        content["code"] = {"number": record.code.value, "name": record.code.name}
    return content
