"""State machine tests: no order runs twice, and no answer says `not-run` of an order that ran."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from order_harness import LIMITS, OrderHarness, start_order_harness
from radishmount.codes import RunStatus
from radishmount.orders import OrderAction, OrderAnswer


NAMES = ("entry-a", "entry-b", "entry-c", "entry-d")
INSTANCE = st.sampled_from(NAMES)
INDEX = st.integers(min_value=0, max_value=50)
DEADLINES_MS = st.sampled_from([30.0, 300.0, 2_000.0])
WAITS_MS = st.sampled_from([0.0, 3.0, 30.0, 400.0, 6_000.0, 15_000.0])
TRANSITS_MS = st.sampled_from([2.0, 2.0, 500.0, 3_000.0])
RUNS_MS = st.sampled_from([10.0, 200.0, 2_500.0])
INSTANCE_LISTS = st.lists(INSTANCE, min_size=1, max_size=4)
FAULTS = (
    "refuses_connections",
    "silent_before_body",
    "silent_after_body",
    "crashes_after_run",
    "shedding",
)
KEY_USE_MS = LIMITS.key_lifetime_ms - 4_000.0  # callers repeat an order with a key for this long
SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@dataclass
class Intent:
    """One order that a caller intends. It may run once, however many requests are sent for it."""

    number: int
    ticket: str | None = None
    key: str | None = None
    first_sent_at_ms: float | None = None
    requests: int = 0
    answers: list[tuple[str, OrderAnswer]] = field(default_factory=list)


class OrderMachine(RuleBasedStateMachine):
    """The actions and invariants that ticket and key orders share, on a virtual event loop."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(self.loop)
        self.harness: OrderHarness = self.run_until_done(start_order_harness(NAMES))
        self.intents: list[Intent] = []
        self.callers: set[asyncio.Task[Any]] = set()

    def run_until_done(self, coroutine: Any) -> Any:
        return self.loop.run_until_complete(coroutine)

    def advance_time(self, duration_ms: float) -> None:
        self.run_until_done(asyncio.sleep(duration_ms / 1000.0))

    def send(self, intent: Intent, name: str, deadline_ms: float) -> None:
        intent.requests += 1
        if intent.first_sent_at_ms is None:
            intent.first_sent_at_ms = self.harness.clock.now_ms()
        request_id = f"{intent.number}-{intent.requests}"

        async def place_order() -> None:
            answer = await self.harness.order(
                name,
                request_id,
                intent.number,
                ticket=intent.ticket,
                key=intent.key,
                deadline_ms=deadline_ms,
            )
            intent.answers.append((request_id, answer))

        self.callers.add(self.loop.create_task(place_order()))

    @rule(duration_ms=WAITS_MS)
    def pause(self, duration_ms: float) -> None:
        self.advance_time(duration_ms)

    @rule(name=INSTANCE)
    def restart(self, name: str) -> None:
        self.run_until_done(self.harness.restart(name))

    @rule(names=st.sets(INSTANCE))
    def partition(self, names: set[str]) -> None:
        self.harness.partitioned_names = names

    @rule()
    def end_partition(self) -> None:
        self.harness.partitioned_names = set()

    @rule(index=st.integers(0, 1), fault=st.sampled_from(FAULTS), on=st.booleans())
    def set_fault(self, index: int, fault: str, on: bool) -> None:
        setattr(self.harness.endpoints[index], fault, on)

    @rule(index=st.integers(0, 1), transit_ms=TRANSITS_MS, run_ms=RUNS_MS)
    def set_times(self, index: int, transit_ms: float, run_ms: float) -> None:
        self.harness.endpoints[index].transit_ms = transit_ms
        self.harness.endpoints[index].run_ms = run_ms

    @invariant()
    def ran_at_most_once(self) -> None:
        for intent in self.intents:
            assert self.harness.runs(intent.number) <= 1, f"order {intent.number} ran twice"

    @invariant()
    def answers_are_true(self) -> None:
        for intent in self.intents:
            for request_id, answer in intent.answers:
                ran = answer.outcome.ran
                if ran is RunStatus.RAN:
                    assert self.harness.runs(intent.number) == 1
                if ran is RunStatus.NOT_RUN:
                    assert self.harness.runs_of_request(request_id) == 0
                    assert intent.ticket is None or self.harness.runs(intent.number) == 0

    def teardown(self) -> None:
        self.advance_time(10_000.0)
        self.ran_at_most_once()
        self.answers_are_true()
        self.run_until_done(self.harness.stop())
        self.run_until_done(asyncio.gather(*self.callers, return_exceptions=True))
        self.ran_at_most_once()
        self.answers_are_true()
        self.loop.close()


class TicketMachine(OrderMachine):
    """Orders under tickets, and orders whose outcome is not recorded."""

    @rule(name=INSTANCE, at=INSTANCE, deadline_ms=DEADLINES_MS)
    def order_with_ticket(self, name: str, at: str, deadline_ms: float) -> None:
        self.intents.append(Intent(len(self.intents), ticket=self.harness.issue_ticket(name)))
        self.send(self.intents[-1], at, deadline_ms)

    @rule(name=INSTANCE)
    def take_ticket(self, name: str) -> None:
        self.intents.append(Intent(len(self.intents), ticket=self.harness.issue_ticket(name)))

    @rule(at=INSTANCE, deadline_ms=DEADLINES_MS)
    def order_once(self, at: str, deadline_ms: float) -> None:
        self.intents.append(Intent(len(self.intents)))
        self.send(self.intents[-1], at, deadline_ms)

    @precondition(lambda self: self.intents)
    @rule(index=INDEX, at=INSTANCE_LISTS, deadline_ms=DEADLINES_MS)
    def repeat(self, index: int, at: list[str], deadline_ms: float) -> None:
        intent = self.intents[-1 - index % len(self.intents)]
        if intent.ticket is None:
            return
        for name in at:
            self.send(intent, name, deadline_ms)

    @precondition(lambda self: self.intents)
    @rule(index=INDEX, at=INSTANCE, wish=st.sampled_from([OrderAction.ENQUIRE, OrderAction.VOID]))
    def enquire(self, index: int, at: str, wish: OrderAction) -> None:
        intent = self.intents[-1 - index % len(self.intents)]
        if intent.ticket is None:
            return
        intent.requests += 1
        request_id = f"{intent.number}-{intent.requests}"

        async def send_enquiry() -> None:
            answer = await self.harness.enquire(at, request_id, wish, str(intent.ticket))
            intent.answers.append((request_id, answer))

        self.callers.add(self.loop.create_task(send_enquiry()))


class KeyMachine(OrderMachine):
    """Orders under callers' keys, while instances hold different instance lists."""

    def __init__(self) -> None:
        super().__init__()
        self.lists: list[tuple[str, ...]] = [NAMES]
        self.list_index_by_name: dict[str, int] = dict.fromkeys(NAMES, 0)
        self.advance_time(LIMITS.key_lifetime_ms)

    @rule(at=INSTANCE_LISTS, deadline_ms=DEADLINES_MS)
    def order_with_key(self, at: list[str], deadline_ms: float) -> None:
        number = len(self.intents)
        self.intents.append(Intent(number, key=f"key-{number}"))
        for name in at:
            self.send(self.intents[-1], name, deadline_ms)

    @precondition(lambda self: self.intents)
    @rule(index=INDEX, at=INSTANCE_LISTS, deadline_ms=DEADLINES_MS)
    def repeat(self, index: int, at: list[str], deadline_ms: float) -> None:
        intent = self.intents[-1 - index % len(self.intents)]
        first_ms = intent.first_sent_at_ms or 0.0
        if self.harness.clock.now_ms() - first_ms > KEY_USE_MS:
            return
        for name in at:
            self.send(intent, name, deadline_ms)

    @rule(without=st.sampled_from([None, *NAMES]), readers=st.sets(INSTANCE))
    def publish_list(self, without: str | None, readers: set[str]) -> None:
        self.lists.append(tuple(name for name in NAMES if name != without))
        for name in readers:
            self.read_list(name)

    @precondition(lambda self: self.intents)
    @rule(readers=INSTANCE_LISTS, at=INSTANCE_LISTS, is_restarted=st.booleans())
    def change_the_owner_of_the_last_key(
        self, readers: list[str], at: list[str], is_restarted: bool
    ) -> None:
        """Remove the owner of the last key from the list, or restart it, then repeat the order."""
        intent = self.intents[-1]
        for name in NAMES:
            records = self.harness.instances_by_name[name].handler.keyed_orders.records
            if f"workshop\n{intent.key}" not in records.by_id:
                continue
            if is_restarted:
                self.restart(name)
            else:
                self.publish_list(name, set(readers))
            break
        self.repeat(0, at, 300.0)

    @rule(without=INSTANCE, readers=st.sets(INSTANCE), at=INSTANCE_LISTS)
    def hold_different_lists(self, without: str, readers: set[str], at: list[str]) -> None:
        """Keep different lists for a key lifetime, then send one key to several instances."""
        self.publish_list(without, readers)
        self.advance_time(LIMITS.key_lifetime_ms)
        self.order_with_key(at, 300.0)
        self.advance_time(400.0)
        self.repeat(0, list(NAMES), 300.0)

    @rule(name=INSTANCE)
    def read_list(self, name: str) -> None:
        self.list_index_by_name[name] = len(self.lists) - 1
        ownership = self.harness.instances_by_name[name].handler.keyed_orders.ownership
        ownership.apply_list(self.lists[-1], self.harness.clock.now_ms())


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = SETTINGS
TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = SETTINGS
