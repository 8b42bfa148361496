"""Whole sessions of orders, compared with stored logs, on virtual time."""

import asyncio

import pytest
from syrupy.assertion import SnapshotAssertion

from order_harness import OrderHarness, start_order_harness
from radishmount.codes import Code, RunStatus
from radishmount.orders import OrderAction


pytestmark = pytest.mark.looptime


def first_choice(harness: OrderHarness):  # type: ignore[no-untyped-def]
    """Return the endpoint that the next order goes to."""
    return harness.endpoints[0]


class TestSendFailures:
    """Failures while an order is sent to an endpoint or its reply is awaited."""

    async def test_connection_refused(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        first_choice(harness).refuses_connections = True
        answer = await harness.order("entry-a", "r1", 1)
        await harness.stop()

        assert (answer.outcome.ran, harness.runs(1)) == (RunStatus.RAN, 1)
        assert harness.log.text() == snapshot

    async def test_silent_before_the_body(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        first_choice(harness).silent_before_body = True
        answer = await harness.order("entry-a", "r1", 1)
        await harness.stop()

        assert (answer.outcome.ran, harness.runs(1)) == (RunStatus.RAN, 1)
        assert harness.log.text() == snapshot

    async def test_silent_after_the_body(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.silent_after_body = True
        answer = await harness.order("entry-a", "r1", 1, deadline_ms=300.0)
        await harness.stop()

        assert (answer.outcome.ran, harness.runs(1)) == (RunStatus.UNKNOWN, 1)
        assert harness.log.text() == snapshot

    async def test_crash_after_the_run_and_before_the_reply(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.crashes_after_run = True
        answer = await harness.order("entry-a", "r1", 1)
        await harness.stop()

        assert (answer.outcome.ran, harness.runs(1)) == (RunStatus.UNKNOWN, 1)
        assert harness.log.text() == snapshot

    async def test_shed_order_is_retried_at_another_endpoint(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness()
        first_choice(harness).shedding = True
        answer = await harness.order("entry-a", "r1", 1)
        await harness.stop()

        assert (answer.outcome.ran, harness.runs(1)) == (RunStatus.RAN, 1)
        assert harness.log.text() == snapshot

    async def test_reply_after_the_deadline_is_recorded(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.run_ms = 400.0
        ticket = harness.issue_ticket("entry-a")
        answer = await harness.order("entry-a", "r1", 1, ticket=ticket, deadline_ms=300.0)
        await asyncio.sleep(1.0)
        repeat = await harness.order("entry-a", "r2", 1, ticket=ticket)
        await harness.stop()

        assert answer.outcome.ran is RunStatus.UNKNOWN
        assert (repeat.outcome.ran, repeat.replayed, harness.runs(1)) == (RunStatus.RAN, True, 1)
        assert harness.log.text() == snapshot


class TestTicketSessions:
    """Orders under tickets, and their repeats."""

    async def test_repeat_at_another_instance_while_the_order_is_in_flight(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.run_ms = 200.0
        ticket = harness.issue_ticket("entry-a")
        first = asyncio.create_task(harness.order("entry-a", "r1", 1, ticket=ticket))
        await asyncio.sleep(0.05)
        second = await harness.order("entry-b", "r2", 1, ticket=ticket)
        await first
        await harness.stop()

        assert (second.outcome.ran, second.replayed, harness.runs(1)) == (RunStatus.RAN, True, 1)
        assert harness.log.text() == snapshot

    async def test_restart_of_the_instance_that_issued_the_ticket(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness()
        ticket = harness.issue_ticket("entry-a")
        await harness.order("entry-a", "r1", 1, ticket=ticket)
        await harness.restart("entry-a")
        await asyncio.sleep(0.1)
        again = await harness.order("entry-b", "r2", 1, ticket=ticket)
        await harness.stop()

        assert (again.outcome.code, harness.runs(1)) == (Code.OUTCOME_UNKNOWN, 1)
        assert harness.log.text() == snapshot

    async def test_partition_with_repeats_sent_to_both_sides(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness(("entry-a", "entry-b", "entry-c"))
        ticket = harness.issue_ticket("entry-a")
        harness.partitioned_names = {"entry-c"}
        cut_off = await harness.order("entry-c", "r1", 1, ticket=ticket)
        reachable = await harness.order("entry-b", "r2", 1, ticket=ticket)
        harness.partitioned_names = set()
        healed = await harness.order("entry-c", "r3", 1, ticket=ticket)
        await harness.stop()

        assert cut_off.outcome.code is Code.INSTANCE_UNREACHABLE
        assert cut_off.outcome.ran is RunStatus.UNKNOWN
        assert (reachable.outcome.ran, healed.outcome.ran, harness.runs(1)) == (
            RunStatus.RAN,
            RunStatus.RAN,
            1,
        )
        assert harness.log.text() == snapshot

    async def test_not_run_is_final_for_a_ticket(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.shedding = True
        ticket = harness.issue_ticket("entry-a")
        await harness.order("entry-a", "r1", 1, ticket=ticket)
        for endpoint in harness.endpoints:
            endpoint.shedding = False
        await asyncio.sleep(1.0)
        again = await harness.order("entry-a", "r2", 1, ticket=ticket)
        await harness.stop()

        assert (again.outcome.ran, again.replayed, harness.runs(1)) == (RunStatus.NOT_RUN, True, 0)
        assert harness.log.text() == snapshot

    async def test_expiry_of_tickets_and_outcomes(self, snapshot: SnapshotAssertion) -> None:
        harness = await start_order_harness()
        used = harness.issue_ticket("entry-a")
        unused = harness.issue_ticket("entry-a")
        await harness.order("entry-a", "r1", 1, ticket=used)
        await asyncio.sleep(21.0)
        kept = await harness.order("entry-a", "r2", 1, ticket=used)
        refused = await harness.order("entry-a", "r3", 2, ticket=unused)
        await asyncio.sleep(20.0)
        gone = await harness.order("entry-a", "r4", 1, ticket=used)
        await harness.stop()

        assert (kept.outcome.ran, kept.replayed) == (RunStatus.RAN, True)
        assert (refused.outcome.code, refused.outcome.ran) == (
            Code.TICKET_EXPIRED,
            RunStatus.NOT_RUN,
        )
        assert (gone.outcome.code, gone.outcome.ran) == (Code.OUTCOME_UNKNOWN, RunStatus.UNKNOWN)
        assert (harness.runs(1), harness.runs(2)) == (1, 0)
        assert harness.log.text() == snapshot

    async def test_concurrent_repeats_run_once(self) -> None:
        harness = await start_order_harness()
        ticket = harness.issue_ticket("entry-a")
        answers = await asyncio.gather(
            *(harness.order(name, f"r-{name}", 1, ticket=ticket) for name in harness.names * 3)
        )
        await harness.stop()

        assert {answer.outcome.ran for answer in answers} == {RunStatus.RAN}
        assert harness.runs(1) == 1

    async def test_another_order_under_the_same_ticket_is_refused(self) -> None:
        harness = await start_order_harness()
        ticket = harness.issue_ticket("entry-a")
        await harness.order("entry-a", "r1", 1, ticket=ticket)
        other = await harness.order("entry-b", "r2", 2, ticket=ticket)
        await harness.stop()

        assert (other.outcome.code, other.outcome.ran) == (Code.KEY_CONFLICT, RunStatus.NOT_RUN)
        assert harness.runs(2) == 0

    async def test_an_enquiry_runs_no_order_and_neither_does_a_void_ticket(self) -> None:
        harness = await start_order_harness()
        ticket = harness.issue_ticket("entry-a")
        asked = await harness.enquire("entry-b", "r1", OrderAction.ENQUIRE, ticket)
        voided = await harness.enquire("entry-b", "r2", OrderAction.VOID, ticket)
        late = await harness.order("entry-a", "r3", 1, ticket=ticket)
        await harness.stop()

        assert (asked.outcome.code, asked.outcome.ran) == (Code.OUTCOME_PENDING, RunStatus.UNKNOWN)
        assert (voided.outcome.ran, late.outcome.ran) == (RunStatus.NOT_RUN, RunStatus.NOT_RUN)
        assert harness.runs(1) == 0

    async def test_the_reply_settles_the_outcome_after_the_task_was_cancelled(self) -> None:
        harness = await start_order_harness()
        for endpoint in harness.endpoints:
            endpoint.run_ms = 200.0
        ticket = harness.issue_ticket("entry-a")
        first = asyncio.create_task(harness.order("entry-a", "r1", 1, ticket=ticket))
        await asyncio.sleep(0.05)
        instance = harness.instances_by_name["entry-a"]
        for task in list(instance.tasks):
            task.cancel()
        repeat = await harness.order("entry-b", "r2", 1, ticket=ticket)
        await asyncio.gather(first, return_exceptions=True)
        await harness.stop()

        assert (repeat.outcome.ran, repeat.replayed, harness.runs(1)) == (RunStatus.RAN, True, 1)


class TestKeySessions:
    """Orders under idempotency keys that the caller chooses."""

    NAMES = ("entry-a", "entry-b", "entry-c")

    async def aged_harness(self) -> OrderHarness:
        harness = await start_order_harness(self.NAMES)
        await asyncio.sleep(21.0)
        return harness

    async def test_new_fleet_refuses_until_its_history_covers_a_key_lifetime(
        self, snapshot: SnapshotAssertion
    ) -> None:
        harness = await start_order_harness(self.NAMES)
        refused = await harness.order("entry-a", "r1", 1, key="k")
        await asyncio.sleep(21.0)
        accepted = await harness.order("entry-a", "r2", 1, key="k")
        repeat = await harness.order("entry-b", "r3", 1, key="k")
        await harness.stop()

        assert (refused.outcome.code, refused.outcome.ran) == (
            Code.KEY_UNCERTAIN,
            RunStatus.UNKNOWN,
        )
        assert (accepted.outcome.ran, repeat.outcome.ran, repeat.replayed) == (
            RunStatus.RAN,
            RunStatus.RAN,
            True,
        )
        assert harness.runs(1) == 1
        assert harness.log.text() == snapshot

    async def test_restart_of_the_owner(self, snapshot: SnapshotAssertion) -> None:
        harness = await self.aged_harness()
        await harness.order("entry-a", "r1", 1, key="k")
        for name in self.NAMES:
            await harness.restart(name)
        await asyncio.sleep(0.1)
        again = await harness.order("entry-b", "r2", 1, key="k")
        await harness.stop()

        assert (again.outcome.code, harness.runs(1)) == (Code.KEY_UNCERTAIN, 1)
        assert harness.log.text() == snapshot

    async def test_partition_with_different_lists(self, snapshot: SnapshotAssertion) -> None:
        harness = await self.aged_harness()
        await harness.order("entry-a", "r1", 1, key="k")
        owner = next(
            name
            for name in self.NAMES
            if harness.instances_by_name[name].handler.keyed_orders.records.by_id
        )
        left = tuple(name for name in self.NAMES if name != owner)
        harness.partitioned_names = {owner}
        for name in left:
            ownership = harness.instances_by_name[name].handler.keyed_orders.ownership
            ownership.apply_list(left, harness.clock.now_ms())
        again = [await harness.order(name, f"r-{name}", 1, key="k") for name in left]
        still = await harness.order(owner, "r-owner", 1, key="k")
        await harness.stop()

        assert {answer.outcome.code for answer in again} == {Code.KEY_UNCERTAIN}
        assert (still.outcome.ran, still.replayed, harness.runs(1)) == (RunStatus.RAN, True, 1)
        assert harness.log.text() == snapshot

    async def test_unreachable_owner(self) -> None:
        harness = await self.aged_harness()
        harness.partitioned_names = {"entry-a"}
        answers = [await harness.order("entry-a", f"r{n}", n, key=f"k{n}") for n in range(6)]
        await harness.stop()

        codes = {answer.outcome.code for answer in answers}
        assert codes == {Code.INSTANCE_UNREACHABLE, Code.KEY_UNCERTAIN}
        assert {answer.outcome.ran for answer in answers} == {RunStatus.UNKNOWN}

    async def test_a_key_can_be_reused_after_an_order_that_did_not_run(self) -> None:
        harness = await self.aged_harness()
        for endpoint in harness.endpoints:
            endpoint.shedding = True
        shed = await harness.order("entry-a", "r1", 1, key="k")
        for endpoint in harness.endpoints:
            endpoint.shedding = False
        again = await harness.order("entry-a", "r2", 1, key="k")
        await harness.stop()

        assert (shed.outcome.ran, again.outcome.ran) == (RunStatus.NOT_RUN, RunStatus.RAN)
        assert harness.runs(1) == 1

    async def test_an_owner_with_two_incarnations_gets_no_agreement(self) -> None:
        harness = await self.aged_harness()
        await harness.order("entry-a", "r1", 1, key="k")
        owner = next(
            name
            for name in self.NAMES
            if harness.instances_by_name[name].handler.keyed_orders.records.by_id
        )
        other = next(name for name in self.NAMES if name != owner)
        ownership = harness.instances_by_name[other].handler.keyed_orders.ownership
        claim = harness.instances_by_name[owner].handler.keyed_orders.ownership.make_claim(
            "workshop\nk"
        )
        twin = type(claim)(claim.key_id, claim.owner, claim.incarnation + 1)
        now_ms = harness.clock.now_ms()
        await harness.stop()

        assert ownership.answer_claim(claim, now_ms).agrees
        assert not ownership.answer_claim(twin, now_ms).agrees
        assert not ownership.answer_claim(claim, now_ms).agrees
        assert ownership.answer_claim(claim, now_ms + 20_001.0).agrees
