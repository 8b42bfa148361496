"""Orders at whole instances, which forward requests and key claims to each other."""

import asyncio

import pytest

from fakes import start_query_harness
from radishmount.codes import Code, RunStatus
from radishmount.orders import OrderAction, OrderCall


pytestmark = pytest.mark.looptime

NAMES = ("entry-a", "entry-b")


class TestNodeOrders:
    """The requests about orders between the instances of a fleet."""

    async def test_any_instance_forwards_to_the_one_that_issued_the_ticket(self) -> None:
        harness = await start_query_harness(nodes=NAMES)
        first, second = (harness.nodes_by_name[name].orders for name in NAMES)
        first.ticketed_orders.signing_key = second.ticketed_orders.signing_key = b"k" * 32
        ticket = first.ticketed_orders.issue("workshop")
        asked = await second.enquire("r1", OrderAction.ENQUIRE, "workshop", ticket)
        voided = await second.enquire("r2", OrderAction.VOID, "workshop", ticket)
        late = await first.place("r3", OrderCall("workshop", "order-booking", {}, ticket=ticket))
        await harness.stop()

        assert (asked.outcome.code, asked.outcome.ran) == (Code.OUTCOME_PENDING, RunStatus.UNKNOWN)
        assert (voided.outcome.code, voided.outcome.ran) == (Code.TICKET_VOID, RunStatus.NOT_RUN)
        assert (late.outcome.code, late.replayed) == (Code.TICKET_VOID, True)

    async def test_an_owner_that_started_recently_refuses_keys(self) -> None:
        harness = await start_query_harness(nodes=NAMES)
        calls = [OrderCall("workshop", "order-booking", {}, key=f"k{n}") for n in range(8)]
        handler = harness.nodes_by_name["entry-a"].orders
        answers = await asyncio.gather(*(handler.place(call.key or "", call) for call in calls))
        await harness.stop()

        assert {answer.outcome.code for answer in answers} == {Code.KEY_UNCERTAIN}
        assert {answer.outcome.ran for answer in answers} == {RunStatus.UNKNOWN}

    async def test_peers_agree_to_an_owner_that_no_list_contradicted(self) -> None:
        harness = await start_query_harness(nodes=NAMES)
        await asyncio.sleep(601.0)
        certain = 0
        for name in NAMES:
            keys = harness.nodes_by_name[name].orders.keyed_orders
            for number in range(4):
                claim = keys.ownership.make_claim(f"workshop\nk{number}")
                other = next(known for known in NAMES if known != name)
                answer = await keys.request_agreement(other, claim)
                assert answer is not None
                assert answer.is_old
                certain += answer.agrees
        await harness.stop()

        assert certain == 4
