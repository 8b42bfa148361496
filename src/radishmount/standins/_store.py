"""A stand-in for the users' key-value store, with revisions, range reads and watches."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import orjson
from aiohttp import web


__all__ = ["StoreCopy", "StoreStandIn"]

ERA_HEADER = "Store-Era"
ITEMS_PER_PAGE = 50
TOMBSTONE = b""


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one moment."""

    revision: int
    values_by_key: dict[str, tuple[bytes, int]]
    history: tuple[tuple[int, str, bytes], ...]


@dataclass(slots=True)
class StoreStandIn:
    """Holds items by key. Instances can only read and watch them.

    A `status` other than 200 is the answer to every call. History before `oldest_revision` is
    compacted, so a watch that starts there is answered with 410, like one from a revision to come.
    While `withholds_events` is set, changes do not wake watches. `calls` lists the calls received.

    All answers have the headers `era_headers`, which tell by default how often the store has come
    back from an older copy.
    """

    revision: int = 1
    era: int = 1
    era_headers: Callable[[int], list[str]] = lambda era: [str(era)]
    oldest_revision: int = 0
    withholds_events: bool = False
    status: int = HTTPStatus.OK
    values_by_key: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[tuple[int, str, bytes]] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(self, key: str, value: Any) -> None:
        """Set a value: bytes are stored unchanged, anything else as JSON."""
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
            self.history.append((self.revision, key, TOMBSTONE))
            self.changed.notify_all()

    async def forget_history(self) -> None:
        """Compact the history, so that watches must start anew; waiting watches are ended."""
        async with self.changed:
            self.oldest_revision = self.revision + 1
            self.revision += 1
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(self.revision, dict(self.values_by_key), tuple(self.history))

    async def restore(self, copy: StoreCopy, *, tells_era: bool = True) -> None:
        """Come back with the content of an older copy; all changes since then are lost."""
        async with self.changed:
            self.era += int(tells_era)
            self.revision = copy.revision
            self.values_by_key = dict(copy.values_by_key)
            self.history = list(copy.history)
            self.changed.notify_all()

    async def set_status(self, status: int) -> None:
        """Answer every call with `status`, waiting watches included."""
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
            return self._response(self.status)
        prefix = request.query.get("prefix", "")
        after = request.query.get("after", "")
        keys = sorted(k for k in self.values_by_key if k.startswith(prefix) and k > after)
        items = [self._item(key, *self.values_by_key[key]) for key in keys[:ITEMS_PER_PAGE]]
        return self._json_response(items=items, morePages=len(keys) > ITEMS_PER_PAGE)

    async def _watch(self, request: web.Request) -> web.Response:
        self.calls.append("watch")
        after = int(request.query["after"])
        prefix = request.query.get("prefix", "")
        wait_s = int(request.query["waitMs"]) / 1000.0
        async with self.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait_for(lambda: self._must_answer_watch(after, prefix))
            except TimeoutError:
                pass
        if self.status != HTTPStatus.OK:
            return self._response(self.status)
        if self._is_lost(after):
            return self._response(HTTPStatus.GONE)
        return self._json_response(events=self._events(after, prefix))

    def _must_answer_watch(self, after: int, prefix: str) -> bool:
        if self.status != HTTPStatus.OK or self._is_lost(after):
            return True
        return not self.withholds_events and bool(self._events(after, prefix))

    def _is_lost(self, after: int) -> bool:
        """Return whether the changes after a revision are not all kept here."""
        return not self.oldest_revision <= after <= self.revision

    def _events(self, after: int, prefix: str) -> list[dict[str, Any]]:
        events = []
        for revision, key, content in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            if content == TOMBSTONE:
                events.append({"key": key, "revision": revision, "removed": True})
            else:
                events.append(self._item(key, content, revision))
        return events

    def _item(self, key: str, content: bytes, revision: int) -> dict[str, Any]:
        value = base64.b64encode(content).decode()
        return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}

    def _json_response(self, **fields: Any) -> web.Response:
        body = orjson.dumps({**fields, "storeRevision": self.revision})
        return self._response(HTTPStatus.OK, body)

    def _response(self, status: int, body: bytes = b"") -> web.Response:
        response = web.Response(status=status, body=body, content_type="application/json")
        for value in self.era_headers(self.era):
            response.headers.add(ERA_HEADER, value)
        return response
