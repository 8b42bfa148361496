"""The operators' HTTP: health, readiness, status, audit and metrics. It changes nothing."""

from dataclasses import asdict
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web

from radishmount.audit import AuditTrail
from radishmount.border._refusals import json_response
from radishmount.counters import Counters


__all__ = ["OperatorService", "make_operator_app"]


class OperatorService(Protocol):
    """What the operators' border reads of an instance; `Node` is one."""

    audit: AuditTrail
    counters: Counters

    def is_ready(self) -> bool:
        """Tell whether the instance takes work."""

    def status(self) -> dict[str, Any]:
        """Return the state of the instance in plain values."""


def make_operator_app(service: OperatorService) -> web.Application:
    """Return the application that shows operators the state of `service`."""

    async def health(request: web.Request) -> web.Response:
        return json_response({"alive": True}, "")

    async def ready(request: web.Request) -> web.Response:
        is_ready = service.is_ready()
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return json_response({"ready": is_ready}, "", status)

    async def status(request: web.Request) -> web.Response:
        return json_response(service.status(), "")

    async def audit(request: web.Request) -> web.Response:
        return json_response({"lines": [asdict(line) for line in service.audit.lines]}, "")

    app = web.Application()
    app.router.add_get("/health", health)
    app.router.add_get("/ready", ready)
    app.router.add_get("/status", status)
    app.router.add_get("/audit", audit)
    return app
