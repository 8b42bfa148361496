"""Orders of whole instances, whose questions travel over their peers."""

import asyncio

import pytest

from fakes import start_query_harness
from radishmount.codes import Code, RunStatus
from radishmount.orders import OrderAction, OrderCall


pytestmark = pytest.mark.looptime

NAMES = ("entry-a", "entry-b")


class TestOrdersOfNodes:
    """What the instances of a fleet say to each other about orders."""

    async def test_any_entry_asks_the_instance_of_a_ticket(self) -> None:
        world = await start_query_harness(nodes=NAMES)
        first, second = (world.nodes_by_name[name].orders for name in NAMES)
        first.tickets.seal_key = second.tickets.seal_key = b"k" * 32
        ticket = first.tickets.issue("workshop")
        asked = await second.enquire("r1", OrderAction.ENQUIRE, "workshop", ticket)
        voided = await second.enquire("r2", OrderAction.VOID, "workshop", ticket)
        late = await first.place("r3", OrderCall("workshop", "order-booking", {}, ticket=ticket))
        await world.stop()

        assert (asked.outcome.code, asked.outcome.ran) == (Code.OUTCOME_PENDING, RunStatus.UNKNOWN)
        assert (voided.outcome.code, voided.outcome.ran) == (Code.TICKET_VOID, RunStatus.NOT_RUN)
        assert (late.outcome.code, late.replayed) == (Code.TICKET_VOID, True)

    async def test_a_young_owner_runs_no_key(self) -> None:
        world = await start_query_harness(nodes=NAMES)
        calls = [OrderCall("workshop", "order-booking", {}, key=f"k{n}") for n in range(8)]
        desk = world.nodes_by_name["entry-a"].orders
        answers = await asyncio.gather(*(desk.place(call.key or "", call) for call in calls))
        await world.stop()

        assert {answer.outcome.code for answer in answers} == {Code.KEY_UNCERTAIN}
        assert {answer.outcome.ran for answer in answers} == {RunStatus.UNKNOWN}

    async def test_peers_agree_about_a_key_that_they_always_saw_there(self) -> None:
        world = await start_query_harness(nodes=NAMES)
        await asyncio.sleep(601.0)
        certain = 0
        for name in NAMES:
            keys = world.nodes_by_name[name].orders.keys
            for number in range(4):
                claim = keys.ownership.own_claim(f"workshop\nk{number}")
                other = next(known for known in NAMES if known != name)
                answer = await keys.ask_agreement(other, claim)
                assert answer is not None
                assert answer.is_old
                certain += answer.agrees
        await world.stop()

        assert certain == 4
