"""A small stand-in of the users' store: items under keys, revisions, ranges and watches."""

import asyncio
import base64
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web


__all__ = ["StoreStandIn"]

PAGE_LENGTH = 50
REMOVED = b""


@dataclass(slots=True)
class StoreStandIn:
    """Holds items. Tests change them; instances can only read and watch.

    `status` other than 200 is what every call is answered with; `oldest` is the revision before
    which history is gone. While the store is mute, watches are not woken by changes.
    """

    revision: int = 1
    oldest: int = 0
    is_mute: bool = False
    status: int = HTTPStatus.OK
    values_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[tuple[int, str, bytes]] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, key: str, value: Any) -> None:
        """Write a value: bytes as they are, anything else as JSON."""
        content = value if isinstance(value, bytes) else orjson.dumps(value)
        async with self.changed:
            self.revision += 1
            self.values_by_key[key] = (content, self.revision)
            self.history.append((self.revision, key, content))
            self.changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove an item."""
        async with self.changed:
            self.revision += 1
            self.values_by_key.pop(key, None)
            self.history.append((self.revision, key, REMOVED))
            self.changed.notify_all()

    async def forget_history(self) -> None:
        """Drop what watches could go on from; those that wait are cut."""
        async with self.changed:
            self.oldest = self.revision + 1
            self.revision += 1
            self.changed.notify_all()

    async def set_status(self, status: int) -> None:
        """Answer every call with `status`, those that wait included."""
        async with self.changed:
            self.status = status
            self.changed.notify_all()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        return app

    async def _range(self, request: web.Request) -> web.Response:
        self.calls.append("range")
        if self.status != HTTPStatus.OK:
            return web.Response(status=self.status)
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.values_by_key if k.startswith(prefix) and k > after)
        items = [self._item(key, *self.values_by_key[key]) for key in keys[:PAGE_LENGTH]]
        return self._answer(items=items, morePages=len(keys) > PAGE_LENGTH)

    async def _watch(self, request: web.Request) -> web.Response:
        self.calls.append("watch")
        after = int(request.query["after"])
        prefix = request.query.get("prefix", "")
        wait_s = int(request.query["waitMs"]) / 1000.0
        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait_for(lambda: self._has_news(after, prefix))
            except TimeoutError:
                pass
        if self.status != HTTPStatus.OK:
            return web.Response(status=self.status)
        if after < self.oldest:
            return web.Response(status=HTTPStatus.GONE)
        return self._answer(events=self._events(after, prefix))

    def _has_news(self, after: int, prefix: str) -> bool:
        if self.status != HTTPStatus.OK or after < self.oldest:
            return True
        return not self.is_mute and bool(self._events(after, prefix))

    def _events(self, after: int, prefix: str) -> list[dict[str, Any]]:
        events = []
        for revision, key, content in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            if content == REMOVED:
                events.append({"key": key, "revision": revision, "removed": True})
            else:
                events.append(self._item(key, content, revision))
        return events

    def _item(self, key: str, content: bytes, revision: int) -> dict[str, Any]:
        value = base64.b64encode(content).decode()
        return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}

    def _answer(self, **fields: Any) -> web.Response:
        body = orjson.dumps({**fields, "storeRevision": self.revision})
        return web.Response(body=body, content_type="application/json")
