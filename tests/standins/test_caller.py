"""Tests of the caller stand-in: how it uses the addresses that it was told."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from radishmount.clock import loop_clock
from radishmount.standins import CallerStandIn, StandInServer, serve_stand_in
from radishmount.trial import CallRecord, Told


ANSWER = {
    "index_version": 1,
    "complete": True,
    "coverage": {"covered": ["part-0"], "missing": []},
    "rows": [],
}


class Entry:
    """An instance that tells its callers to use `told`, and answers as it is set."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.asked = 0
        self.silent = False
        self.refusal = ""
        self.server: StandInServer | None = None

    @property
    def address(self) -> str:
        assert self.server is not None
        return str(self.server.address)

    def app(self) -> web.Application:
        async def addresses(request: web.Request) -> web.Response:
            told = [{"name": address, "address": address} for address in self.told]
            return web.json_response({"addresses": told, "valid_for_ms": 60_000})

        async def search(request: web.Request) -> web.Response:
            self.asked += 1
            while self.silent:
                await asyncio.sleep(0.01)
            request_id = request.headers["X-Request-Id"]
            content: dict[str, Any] = {"request_id": request_id, **ANSWER}
            if self.refusal:
                content = {
                    "request_id": request_id,
                    "error": {"name": self.refusal, "ran": "not-run"},
                }
            return web.json_response(content)

        app = web.Application()
        app.router.add_get("/v1/addresses", addresses)
        app.router.add_post("/v1/search", search)
        return app


@pytest.fixture
async def entries() -> AsyncIterator[list[Entry]]:
    entries = [Entry(), Entry()]
    for entry in entries:
        entry.server = await serve_stand_in(entry.app())
    for entry in entries:
        entry.told = [one.address for one in entries]
    yield entries
    for entry in entries:
        entry.silent = False
        assert entry.server is not None
        await entry.server.stop()


async def ask(entries: list[Entry], move_on_ms: float | None = None) -> CallRecord:
    clock = loop_clock(asyncio.get_running_loop())
    caller = CallerStandIn(
        "workshop", "milano", clock, lambda: [entries[-1].address], lambda: 0.0, move_on_ms
    )
    record = CallRecord("workshop", "q1", "catalogue", "washi", 0.0, deadline_ms=2_000.0)
    await caller.search(record)
    await caller.close()
    return record


class TestCallerStandIn:
    """A caller that follows address answers."""

    async def test_uses_the_first_address_that_it_is_told(self, entries: list[Entry]) -> None:
        record = await ask(entries)

        assert (record.told, record.request_id) == (Told.ANSWER, "q1.0")
        assert [entry.asked for entry in entries] == [1, 0]

    async def test_a_lost_instance_costs_one_try(self, entries: list[Entry]) -> None:
        assert entries[0].server is not None
        await entries[0].server.lose()

        record = await ask(entries)

        assert (record.told, record.request_id) == (Told.ANSWER, "q1.1")
        assert [attempt.cut for attempt in record.tries] == [False, False]

    async def test_moves_on_from_a_silent_instance(self, entries: list[Entry]) -> None:
        entries[0].silent = True

        record = await ask(entries, move_on_ms=50.0)

        assert record.told is Told.ANSWER
        assert [entry.asked for entry in entries] == [1, 1]
        assert (record.tries[0].refused_as, record.tries[0].cut) == ("no answer", False)

    async def test_moves_on_from_an_instance_that_is_leaving(self, entries: list[Entry]) -> None:
        entries[0].refusal = "INSTANCE_LEAVING"

        record = await ask(entries)

        assert (record.told, record.request_id) == (Told.ANSWER, "q1.1")

    async def test_takes_any_other_refusal_as_the_last_word(self, entries: list[Entry]) -> None:
        entries[0].refusal = "OVERLOADED"

        record = await ask(entries)

        assert (record.told, record.code, record.ran) == (Told.REFUSED, "OVERLOADED", "not-run")
        assert entries[1].asked == 0
