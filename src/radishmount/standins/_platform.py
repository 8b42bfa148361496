"""A stand-in for the platform: published values and the instance list, read by long polling."""

import asyncio
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web

from radishmount.border import BUNDLE_KEY, split_bundle


__all__ = ["ListedInstance", "PlatformStandIn"]


@dataclass(slots=True)
class ListedInstance:
    """One item of the instance list; `role` is `entry` (an instance) or `endpoint`."""

    name: str
    role: str
    data_centre: str
    state: str = "live"
    caller_address: str = ""
    peer_address: str = ""


@dataclass(slots=True)
class PlatformStandIn:
    """Holds the published bundle and the instance list. Instances can only read them.

    `reads` counts requests, `sent_bytes` the bytes of values and lists sent. While `down` is set,
    every request is answered with 503.
    """

    bundle: bytes = b""
    pieces_by_key: dict[str, bytes] = field(default_factory=dict)
    bundle_version: int = 0
    list_version: int = 0
    listed_by_name: dict[str, ListedInstance] = field(default_factory=dict)
    reads: int = 0
    sent_bytes: int = 0
    down: bool = False
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def publish(self, version: int, bundle: bytes) -> None:
        """Publish a bundle, as pieces listed in a manifest if it is too long for one value."""
        async with self.changed:
            values = split_bundle(version, bundle)
            self.bundle_version = version
            self.bundle = values.pop(BUNDLE_KEY)
            self.pieces_by_key.update(values)
            self.changed.notify_all()

    async def list_instances(self, *instances: ListedInstance) -> None:
        """Add items to the instance list, or replace those of the same name."""
        async with self.changed:
            for instance in instances:
                self.listed_by_name[instance.name] = instance
            self.list_version += 1
            self.changed.notify_all()

    async def remove_instance(self, name: str) -> None:
        """Remove an item from the instance list."""
        async with self.changed:
            self.listed_by_name.pop(name, None)
            self.list_version += 1
            self.changed.notify_all()

    async def set_down(self, down: bool) -> None:
        """Fail all requests with 503, waiting long polls included, or serve them again."""
        async with self.changed:
            self.down = down
            self.changed.notify_all()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get(f"/v1/values/{BUNDLE_KEY}", self._get_bundle)
        app.router.add_get(f"/v1/values/{BUNDLE_KEY}/{{version}}/{{number}}", self._get_piece)
        app.router.add_get("/v1/instances", self._get_instances)
        return app

    async def _get_bundle(self, request: web.Request) -> web.Response:
        after = await self._wait_for_version(request, lambda: self.bundle_version)
        if self.down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if self.bundle_version <= after:
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        self.sent_bytes += len(self.bundle)
        return web.Response(body=self.bundle, content_type="application/json")

    async def _get_piece(self, request: web.Request) -> web.Response:
        self.reads += 1
        piece = self.pieces_by_key.get(request.path.removeprefix("/v1/values/"))
        if self.down or piece is None:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self.sent_bytes += len(piece)
        return web.Response(body=piece)

    async def _get_instances(self, request: web.Request) -> web.Response:
        after = await self._wait_for_version(request, lambda: self.list_version)
        if self.down:
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        if self.list_version <= after:
            return web.Response(status=HTTPStatus.NOT_MODIFIED)
        items = [_instance_fields(instance) for instance in self.listed_by_name.values()]
        content = {"version": self.list_version, "instances": items}
        body = orjson.dumps(content)
        self.sent_bytes += len(body)
        return web.Response(body=body, content_type="application/json")

    async def _wait_for_version(self, request: web.Request, current_version: Any) -> int:
        """Wait until the version exceeds the request's `after`, for at most its `wait_ms`.

        Returns `after`.
        """
        self.reads += 1
        after = int(request.query.get("after", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000.0
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.down or current_version() > after)
        except TimeoutError:
            pass
        return after


def _instance_fields(instance: ListedInstance) -> dict[str, Any]:
    return {
        "name": instance.name,
        "role": instance.role,
        "data_centre": instance.data_centre,
        "state": instance.state,
        "caller_address": instance.caller_address,
        "peer_address": instance.peer_address,
    }
