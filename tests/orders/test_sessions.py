"""Golden files of whole order sessions, on virtual time."""

import asyncio

import pytest
from syrupy.assertion import SnapshotAssertion

from order_harness import OrderHarness, start_order_harness
from radishmount.codes import Code, RunStatus
from radishmount.orders import OrderAction


pytestmark = pytest.mark.looptime


def first_choice(world: OrderHarness):  # type: ignore[no-untyped-def]
    """Return the endpoint that the next order goes to."""
    return world.endpoints[0]


class TestSendFailures:
    """An order that fails on its way to an endpoint, or on the way back."""

    async def test_connection_refused(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        first_choice(world).refuses_connections = True
        answer = await world.order("entry-a", "r1", 1)
        await world.stop()

        assert (answer.outcome.ran, world.runs(1)) == (RunStatus.RAN, 1)
        assert world.log.text() == snapshot

    async def test_silent_before_the_body(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        first_choice(world).silent_before_body = True
        answer = await world.order("entry-a", "r1", 1)
        await world.stop()

        assert (answer.outcome.ran, world.runs(1)) == (RunStatus.RAN, 1)
        assert world.log.text() == snapshot

    async def test_silent_after_the_body(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.silent_after_body = True
        answer = await world.order("entry-a", "r1", 1, deadline_ms=300.0)
        await world.stop()

        assert (answer.outcome.ran, world.runs(1)) == (RunStatus.UNKNOWN, 1)
        assert world.log.text() == snapshot

    async def test_crash_after_run_before_reply(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.crashes_after_run = True
        answer = await world.order("entry-a", "r1", 1)
        await world.stop()

        assert (answer.outcome.ran, world.runs(1)) == (RunStatus.UNKNOWN, 1)
        assert world.log.text() == snapshot

    async def test_shed_goes_elsewhere(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        first_choice(world).shedding = True
        answer = await world.order("entry-a", "r1", 1)
        await world.stop()

        assert (answer.outcome.ran, world.runs(1)) == (RunStatus.RAN, 1)
        assert world.log.text() == snapshot

    async def test_reply_after_the_deadline_is_recorded(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.run_ms = 400.0
        ticket = world.ticket_of("entry-a")
        answer = await world.order("entry-a", "r1", 1, ticket=ticket, deadline_ms=300.0)
        await asyncio.sleep(1.0)
        repeat = await world.order("entry-a", "r2", 1, ticket=ticket)
        await world.stop()

        assert answer.outcome.ran is RunStatus.UNKNOWN
        assert (repeat.outcome.ran, repeat.replayed, world.runs(1)) == (RunStatus.RAN, True, 1)
        assert world.log.text() == snapshot


class TestTicketSessions:
    """Repeats of an order under its ticket."""

    async def test_repeat_during_flight_at_another_instance(
        self, snapshot: SnapshotAssertion
    ) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.run_ms = 200.0
        ticket = world.ticket_of("entry-a")
        first = asyncio.create_task(world.order("entry-a", "r1", 1, ticket=ticket))
        await asyncio.sleep(0.05)
        second = await world.order("entry-b", "r2", 1, ticket=ticket)
        await first
        await world.stop()

        assert (second.outcome.ran, second.replayed, world.runs(1)) == (RunStatus.RAN, True, 1)
        assert world.log.text() == snapshot

    async def test_restart_of_the_instance_of_the_ticket(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        ticket = world.ticket_of("entry-a")
        await world.order("entry-a", "r1", 1, ticket=ticket)
        await world.restart("entry-a")
        await asyncio.sleep(0.1)
        again = await world.order("entry-b", "r2", 1, ticket=ticket)
        await world.stop()

        assert (again.outcome.code, world.runs(1)) == (Code.OUTCOME_UNKNOWN, 1)
        assert world.log.text() == snapshot

    async def test_partition_with_repeats_sent_to_both_sides(
        self, snapshot: SnapshotAssertion
    ) -> None:
        world = await start_order_harness(("entry-a", "entry-b", "entry-c"))
        ticket = world.ticket_of("entry-a")
        world.cut_off = {"entry-c"}
        there = await world.order("entry-c", "r1", 1, ticket=ticket)
        here = await world.order("entry-b", "r2", 1, ticket=ticket)
        world.cut_off = set()
        healed = await world.order("entry-c", "r3", 1, ticket=ticket)
        await world.stop()

        assert there.outcome.code is Code.INSTANCE_UNREACHABLE
        assert there.outcome.ran is RunStatus.UNKNOWN
        assert (here.outcome.ran, healed.outcome.ran, world.runs(1)) == (
            RunStatus.RAN,
            RunStatus.RAN,
            1,
        )
        assert world.log.text() == snapshot

    async def test_not_run_is_final_for_a_ticket(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.shedding = True
        ticket = world.ticket_of("entry-a")
        await world.order("entry-a", "r1", 1, ticket=ticket)
        for endpoint in world.endpoints:
            endpoint.shedding = False
        await asyncio.sleep(1.0)
        again = await world.order("entry-a", "r2", 1, ticket=ticket)
        await world.stop()

        assert (again.outcome.ran, again.replayed, world.runs(1)) == (RunStatus.NOT_RUN, True, 0)
        assert world.log.text() == snapshot

    async def test_expiry(self, snapshot: SnapshotAssertion) -> None:
        world = await start_order_harness()
        used = world.ticket_of("entry-a")
        unused = world.ticket_of("entry-a")
        await world.order("entry-a", "r1", 1, ticket=used)
        await asyncio.sleep(21.0)
        kept = await world.order("entry-a", "r2", 1, ticket=used)
        refused = await world.order("entry-a", "r3", 2, ticket=unused)
        await asyncio.sleep(20.0)
        gone = await world.order("entry-a", "r4", 1, ticket=used)
        await world.stop()

        assert (kept.outcome.ran, kept.replayed) == (RunStatus.RAN, True)
        assert (refused.outcome.code, refused.outcome.ran) == (
            Code.TICKET_EXPIRED,
            RunStatus.NOT_RUN,
        )
        assert (gone.outcome.code, gone.outcome.ran) == (Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN)
        assert (world.runs(1), world.runs(2)) == (1, 0)
        assert world.log.text() == snapshot

    async def test_two_repeats_at_once_run_once(self) -> None:
        world = await start_order_harness()
        ticket = world.ticket_of("entry-a")
        answers = await asyncio.gather(
            *(world.order(name, f"r-{name}", 1, ticket=ticket) for name in world.names * 3)
        )
        await world.stop()

        assert {answer.outcome.ran for answer in answers} == {RunStatus.RAN}
        assert world.runs(1) == 1

    async def test_another_order_under_the_same_ticket_is_refused(self) -> None:
        world = await start_order_harness()
        ticket = world.ticket_of("entry-a")
        await world.order("entry-a", "r1", 1, ticket=ticket)
        other = await world.order("entry-b", "r2", 2, ticket=ticket)
        await world.stop()

        assert (other.outcome.code, other.outcome.ran) == (Code.KEY_CONFLICT, RunStatus.NOT_RUN)
        assert world.runs(2) == 0

    async def test_a_question_is_no_order_and_a_void_ticket_carries_none(self) -> None:
        world = await start_order_harness()
        ticket = world.ticket_of("entry-a")
        asked = await world.enquire("entry-b", "r1", OrderAction.ENQUIRE, ticket)
        voided = await world.enquire("entry-b", "r2", OrderAction.VOID, ticket)
        late = await world.order("entry-a", "r3", 1, ticket=ticket)
        await world.stop()

        assert (asked.outcome.code, asked.outcome.ran) == (Code.OUTCOME_PENDING, RunStatus.UNKNOWN)
        assert (voided.outcome.ran, late.outcome.ran) == (RunStatus.NOT_RUN, RunStatus.NOT_RUN)
        assert world.runs(1) == 0

    async def test_a_cut_off_task_leaves_the_outcome_to_the_endpoint(self) -> None:
        world = await start_order_harness()
        for endpoint in world.endpoints:
            endpoint.run_ms = 200.0
        ticket = world.ticket_of("entry-a")
        first = asyncio.create_task(world.order("entry-a", "r1", 1, ticket=ticket))
        await asyncio.sleep(0.05)
        instance = world.instances_by_name["entry-a"]
        for task in list(instance.tasks):
            task.cancel()
        repeat = await world.order("entry-b", "r2", 1, ticket=ticket)
        await asyncio.gather(first, return_exceptions=True)
        await world.stop()

        assert (repeat.outcome.ran, repeat.replayed, world.runs(1)) == (RunStatus.RAN, True, 1)


class TestKeySessions:
    """Orders under a caller's own key."""

    NAMES = ("entry-a", "entry-b", "entry-c")

    async def old_world(self) -> OrderHarness:
        world = await start_order_harness(self.NAMES)
        await asyncio.sleep(21.0)
        return world

    async def test_young_fleet_refuses_until_it_remembers_a_lifetime(
        self, snapshot: SnapshotAssertion
    ) -> None:
        world = await start_order_harness(self.NAMES)
        young = await world.order("entry-a", "r1", 1, key="k")
        await asyncio.sleep(21.0)
        old = await world.order("entry-a", "r2", 1, key="k")
        again = await world.order("entry-b", "r3", 1, key="k")
        await world.stop()

        assert (young.outcome.code, young.outcome.ran) == (Code.KEY_UNCERTAIN, RunStatus.UNKNOWN)
        assert (old.outcome.ran, again.outcome.ran, again.replayed) == (
            RunStatus.RAN,
            RunStatus.RAN,
            True,
        )
        assert world.runs(1) == 1
        assert world.log.text() == snapshot

    async def test_restart_of_the_owner(self, snapshot: SnapshotAssertion) -> None:
        world = await self.old_world()
        await world.order("entry-a", "r1", 1, key="k")
        for name in self.NAMES:
            await world.restart(name)
        await asyncio.sleep(0.1)
        again = await world.order("entry-b", "r2", 1, key="k")
        await world.stop()

        assert (again.outcome.code, world.runs(1)) == (Code.KEY_UNCERTAIN, 1)
        assert world.log.text() == snapshot

    async def test_split_with_different_lists(self, snapshot: SnapshotAssertion) -> None:
        world = await self.old_world()
        await world.order("entry-a", "r1", 1, key="k")
        owner = next(
            name for name in self.NAMES if world.instances_by_name[name].desk.keys.records.by_id
        )
        left = tuple(name for name in self.NAMES if name != owner)
        world.cut_off = {owner}
        for name in left:
            ownership = world.instances_by_name[name].desk.keys.ownership
            ownership.take_list(left, world.clock.now_ms())
        again = [await world.order(name, f"r-{name}", 1, key="k") for name in left]
        still = await world.order(owner, "r-owner", 1, key="k")
        await world.stop()

        assert {answer.outcome.code for answer in again} == {Code.KEY_UNCERTAIN}
        assert (still.outcome.ran, still.replayed, world.runs(1)) == (RunStatus.RAN, True, 1)
        assert world.log.text() == snapshot

    async def test_unreachable_owner(self) -> None:
        world = await self.old_world()
        world.cut_off = {"entry-a"}
        answers = [await world.order("entry-a", f"r{n}", n, key=f"k{n}") for n in range(6)]
        await world.stop()

        codes = {answer.outcome.code for answer in answers}
        assert codes == {Code.INSTANCE_UNREACHABLE, Code.KEY_UNCERTAIN}
        assert {answer.outcome.ran for answer in answers} == {RunStatus.UNKNOWN}

    async def test_not_run_frees_the_key(self) -> None:
        world = await self.old_world()
        for endpoint in world.endpoints:
            endpoint.shedding = True
        shed = await world.order("entry-a", "r1", 1, key="k")
        for endpoint in world.endpoints:
            endpoint.shedding = False
        again = await world.order("entry-a", "r2", 1, key="k")
        await world.stop()

        assert (shed.outcome.ran, again.outcome.ran) == (RunStatus.NOT_RUN, RunStatus.RAN)
        assert world.runs(1) == 1

    async def test_two_starts_of_one_owner_are_both_doubted(self) -> None:
        world = await self.old_world()
        await world.order("entry-a", "r1", 1, key="k")
        owner = next(
            name for name in self.NAMES if world.instances_by_name[name].desk.keys.records.by_id
        )
        other = next(name for name in self.NAMES if name != owner)
        ownership = world.instances_by_name[other].desk.keys.ownership
        claim = world.instances_by_name[owner].desk.keys.ownership.own_claim("workshop\nk")
        twin = type(claim)(claim.key_id, claim.owner, claim.incarnation + 1)
        now_ms = world.clock.now_ms()
        await world.stop()

        assert ownership.answer(claim, now_ms).agrees
        assert not ownership.answer(twin, now_ms).agrees
        assert not ownership.answer(claim, now_ms).agrees
        assert ownership.answer(claim, now_ms + 20_001.0).agrees
