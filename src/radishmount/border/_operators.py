"""The operators' HTTP: health, readiness, status, audit, explanations, metrics. It changes nothing.

An operator asks an instance at its operators' address:

    curl http://127.0.0.1:8081/audit?subject=publication&since=40
"""

from dataclasses import asdict
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from result import Err, Ok

from radishmount.audit import AuditLine
from radishmount.border._http import HttpService, guarded_app, request_id_of
from radishmount.border._metrics import MeteredService, RequestMetrics, render_metrics
from radishmount.border._models import BorderModel, Digits, read_query
from radishmount.border._responses import json_response, refusal_response
from radishmount.codes import Code, Refusal
from radishmount.queries import ExplainableRecord


__all__ = ["OperatorService", "make_operator_app"]

MAX_BODY_BYTES = 1024


class OperatorService(HttpService, MeteredService, Protocol):
    """What the operators' border reads of an instance; `Node` is one."""

    def is_ready(self) -> bool:
        """Tell whether the instance takes work."""

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""

    def explain(self, request_id: str) -> ExplainableRecord | None:
        """Return the record of a slow, partial or refused request, if it is kept."""


class AuditModel(BorderModel):
    """The query of a request for audit lines."""

    subject: str = ""
    since: Digits = "0"


def make_operator_app(
    service: OperatorService, metrics: RequestMetrics | None = None
) -> web.Application:
    """Return the application that shows operators the state of `service`.

    `metrics` are those of the callers' border.
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
        match read_query(AuditModel, request.query):
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

    app = guarded_app(service, RequestMetrics(), max_body_bytes=MAX_BODY_BYTES)
    app.router.add_get("/health", health)
    app.router.add_get("/ready", ready)
    app.router.add_get("/status", status)
    app.router.add_get("/audit", audit)
    app.router.add_get("/explain/{request_id}", explain)
    app.router.add_get("/metrics", show_metrics)
    return app


def _is_about(line: AuditLine, subject: str) -> bool:
    """Tell whether `line` is about `subject` or what it holds, as `endpoint` holds `endpoint/a`."""
    return not subject or line.subject == subject or line.subject.startswith(f"{subject}/")


def _record_content(record: ExplainableRecord) -> dict[str, Any]:
    """Return the record in plain values; a code is told with its number and name."""
    content = asdict(record)
    if record.code is not None:
        content["code"] = {"number": record.code.value, "name": record.code.name}
    return content
