"""Tests of the caller stand-in: how it uses the addresses that an instance returns."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from radishmount.clock import loop_clock
from radishmount.standins import CallerStandIn, StandInServer, serve_stand_in
from radishmount.trial import CallOutcome, CallRecord


ANSWER = {
    "index_version": 1,
    "complete": True,
    "coverage": {"covered": ["part-0"], "missing": []},
    "rows": [],
}


class FakeInstance:
    """An instance that returns `listed_addresses` to its callers.

    It never answers a search while `silent`, and refuses it with `refusal_code` if that is set.
    `searches` counts the searches received.
    """

    def __init__(self) -> None:
        self.listed_addresses: list[str] = []
        self.searches = 0
        self.silent = False
        self.refusal_code = ""
        self.server: StandInServer | None = None

    @property
    def address(self) -> str:
        assert self.server is not None
        return str(self.server.address)

    def app(self) -> web.Application:
        async def addresses(request: web.Request) -> web.Response:
            items = [{"name": address, "address": address} for address in self.listed_addresses]
            return web.json_response({"addresses": items, "valid_for_ms": 60_000})

        async def search(request: web.Request) -> web.Response:
            self.searches += 1
            while self.silent:
                await asyncio.sleep(0.01)
            request_id = request.headers["X-Request-Id"]
            content: dict[str, Any] = {"request_id": request_id, **ANSWER}
            if self.refusal_code:
                content = {
                    "request_id": request_id,
                    "error": {"name": self.refusal_code, "ran": "not-run"},
                }
            return web.json_response(content)

        app = web.Application()
        app.router.add_get("/v1/addresses", addresses)
        app.router.add_post("/v1/search", search)
        return app


@pytest.fixture
async def instances() -> AsyncIterator[list[FakeInstance]]:
    instances = [FakeInstance(), FakeInstance()]
    for instance in instances:
        instance.server = await serve_stand_in(instance.app())
    for instance in instances:
        instance.listed_addresses = [other.address for other in instances]
    yield instances
    for instance in instances:
        instance.silent = False
        assert instance.server is not None
        await instance.server.stop()


async def run_search(instances: list[FakeInstance], move_on_ms: float | None = None) -> CallRecord:
    clock = loop_clock(asyncio.get_running_loop())
    caller = CallerStandIn(
        "workshop", "milano", clock, lambda: [instances[-1].address], lambda: 0.0, move_on_ms
    )
    record = CallRecord("workshop", "q1", "catalogue", "washi", 0.0, deadline_ms=2_000.0)
    await caller.search(record)
    await caller.close()
    return record


class TestCallerStandIn:
    """The caller tries the addresses that it received in their order until a reply is final."""

    async def test_uses_the_first_address_of_the_list(self, instances: list[FakeInstance]) -> None:
        record = await run_search(instances)

        assert (record.outcome, record.request_id) == (CallOutcome.ANSWER, "q1.0")
        assert [instance.searches for instance in instances] == [1, 0]

    async def test_a_killed_instance_costs_one_try(self, instances: list[FakeInstance]) -> None:
        assert instances[0].server is not None
        await instances[0].server.kill()

        record = await run_search(instances)

        assert (record.outcome, record.request_id) == (CallOutcome.ANSWER, "q1.1")
        assert [attempt.cut for attempt in record.attempts] == [False, False]

    async def test_moves_on_from_a_silent_instance(self, instances: list[FakeInstance]) -> None:
        instances[0].silent = True

        record = await run_search(instances, move_on_ms=50.0)

        assert record.outcome is CallOutcome.ANSWER
        assert [instance.searches for instance in instances] == [1, 1]
        assert (record.attempts[0].refused_as, record.attempts[0].cut) == ("no answer", False)

    async def test_moves_on_from_an_instance_that_is_leaving(
        self, instances: list[FakeInstance]
    ) -> None:
        instances[0].refusal_code = "INSTANCE_LEAVING"

        record = await run_search(instances)

        assert (record.outcome, record.request_id) == (CallOutcome.ANSWER, "q1.1")

    async def test_does_not_retry_after_any_other_refusal(
        self, instances: list[FakeInstance]
    ) -> None:
        instances[0].refusal_code = "OVERLOADED"

        record = await run_search(instances)

        assert (record.outcome, record.code, record.ran) == (
            CallOutcome.REFUSED,
            "OVERLOADED",
            "not-run",
        )
        assert instances[1].searches == 0
