"""No interleaving runs an order twice, or says `not-run` of one that ran."""

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
PLACES = st.lists(INSTANCE, min_size=1, max_size=4)
FAULTS = (
    "refuses_connections",
    "silent_before_body",
    "silent_after_body",
    "crashes_after_run",
    "shedding",
)
KEY_USE_MS = LIMITS.key_lifetime_ms - 4_000.0
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
    """One order as its caller means it: whatever is sent for it, it may run once."""

    number: int
    ticket: str | None = None
    key: str | None = None
    first_sent_at_ms: float | None = None
    requests: int = 0
    answers: list[tuple[str, OrderAnswer]] = field(default_factory=list)


class Callers(RuleBasedStateMachine):
    """Callers, instances and endpoints on a virtual loop, and what must hold of them."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(self.loop)
        self.world: OrderHarness = self.wait(start_order_harness(NAMES))
        self.intents: list[Intent] = []
        self.callers: set[asyncio.Task[Any]] = set()

    def wait(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)

    def let_pass(self, duration_ms: float) -> None:
        self.wait(asyncio.sleep(duration_ms / 1000.0))

    def send(self, intent: Intent, name: str, deadline_ms: float) -> None:
        intent.requests += 1
        if intent.first_sent_at_ms is None:
            intent.first_sent_at_ms = self.world.clock.now_ms()
        request_id = f"{intent.number}-{intent.requests}"

        async def ask() -> None:
            answer = await self.world.order(
                name,
                request_id,
                intent.number,
                ticket=intent.ticket,
                key=intent.key,
                deadline_ms=deadline_ms,
            )
            intent.answers.append((request_id, answer))

        self.callers.add(self.loop.create_task(ask()))

    @rule(duration_ms=WAITS_MS)
    def pause(self, duration_ms: float) -> None:
        self.let_pass(duration_ms)

    @rule(name=INSTANCE)
    def restart(self, name: str) -> None:
        self.wait(self.world.restart(name))

    @rule(cut=st.sets(INSTANCE))
    def split(self, cut: set[str]) -> None:
        self.world.cut_off = cut

    @rule()
    def heal(self) -> None:
        self.world.cut_off = set()

    @rule(index=st.integers(0, 1), fault=st.sampled_from(FAULTS), on=st.booleans())
    def set_fault(self, index: int, fault: str, on: bool) -> None:
        setattr(self.world.endpoints[index], fault, on)

    @rule(index=st.integers(0, 1), transit_ms=TRANSITS_MS, run_ms=RUNS_MS)
    def set_times(self, index: int, transit_ms: float, run_ms: float) -> None:
        self.world.endpoints[index].transit_ms = transit_ms
        self.world.endpoints[index].run_ms = run_ms

    @invariant()
    def ran_at_most_once(self) -> None:
        for intent in self.intents:
            assert self.world.runs(intent.number) <= 1, f"order {intent.number} ran twice"

    @invariant()
    def told_the_truth(self) -> None:
        for intent in self.intents:
            for request_id, answer in intent.answers:
                ran = answer.outcome.ran
                if ran is RunStatus.RAN:
                    assert self.world.runs(intent.number) == 1
                if ran is RunStatus.NOT_RUN:
                    assert self.world.runs_of_request(request_id) == 0
                    assert intent.ticket is None or self.world.runs(intent.number) == 0

    def teardown(self) -> None:
        self.let_pass(10_000.0)
        self.ran_at_most_once()
        self.told_the_truth()
        self.wait(self.world.stop())
        self.wait(asyncio.gather(*self.callers, return_exceptions=True))
        self.ran_at_most_once()
        self.told_the_truth()
        self.loop.close()


class TicketMachine(Callers):
    """Orders under tickets, and orders that nothing is kept of."""

    @rule(name=INSTANCE, at=INSTANCE, deadline_ms=DEADLINES_MS)
    def order_with_ticket(self, name: str, at: str, deadline_ms: float) -> None:
        self.intents.append(Intent(len(self.intents), ticket=self.world.ticket_of(name)))
        self.send(self.intents[-1], at, deadline_ms)

    @rule(name=INSTANCE)
    def take_ticket(self, name: str) -> None:
        self.intents.append(Intent(len(self.intents), ticket=self.world.ticket_of(name)))

    @rule(at=INSTANCE, deadline_ms=DEADLINES_MS)
    def order_once(self, at: str, deadline_ms: float) -> None:
        self.intents.append(Intent(len(self.intents)))
        self.send(self.intents[-1], at, deadline_ms)

    @precondition(lambda self: self.intents)
    @rule(index=INDEX, at=PLACES, deadline_ms=DEADLINES_MS)
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

        async def ask() -> None:
            answer = await self.world.enquire(at, request_id, wish, str(intent.ticket))
            intent.answers.append((request_id, answer))

        self.callers.add(self.loop.create_task(ask()))


class KeyMachine(Callers):
    """Orders under callers' keys, while instances hold different lists."""

    def __init__(self) -> None:
        super().__init__()
        self.lists: list[tuple[str, ...]] = [NAMES]
        self.list_held: dict[str, int] = dict.fromkeys(NAMES, 0)
        self.let_pass(LIMITS.key_lifetime_ms)

    @rule(at=PLACES, deadline_ms=DEADLINES_MS)
    def order_with_key(self, at: list[str], deadline_ms: float) -> None:
        number = len(self.intents)
        self.intents.append(Intent(number, key=f"key-{number}"))
        for name in at:
            self.send(self.intents[-1], name, deadline_ms)

    @precondition(lambda self: self.intents)
    @rule(index=INDEX, at=PLACES, deadline_ms=DEADLINES_MS)
    def repeat(self, index: int, at: list[str], deadline_ms: float) -> None:
        intent = self.intents[-1 - index % len(self.intents)]
        first_ms = intent.first_sent_at_ms or 0.0
        if self.world.clock.now_ms() - first_ms > KEY_USE_MS:
            return
        for name in at:
            self.send(intent, name, deadline_ms)

    @rule(without=st.sampled_from([None, *NAMES]), readers=st.sets(INSTANCE))
    def publish_list(self, without: str | None, readers: set[str]) -> None:
        self.lists.append(tuple(name for name in NAMES if name != without))
        for name in readers:
            self.read_list(name)

    @precondition(lambda self: self.intents)
    @rule(readers=PLACES, at=PLACES, is_restarted=st.booleans())
    def move_the_last_key(self, readers: list[str], at: list[str], is_restarted: bool) -> None:
        """Take the owner of the last key off the list, or start it again, and repeat."""
        intent = self.intents[-1]
        for name in NAMES:
            records = self.world.instances_by_name[name].desk.keys.records
            if f"workshop\n{intent.key}" not in records.by_id:
                continue
            if is_restarted:
                self.restart(name)
            else:
                self.publish_list(name, set(readers))
            break
        self.repeat(0, at, 300.0)

    @rule(without=INSTANCE, readers=st.sets(INSTANCE), at=PLACES)
    def live_apart(self, without: str, readers: set[str], at: list[str]) -> None:
        """Hold different lists for a whole lifetime, then send one key to several instances."""
        self.publish_list(without, readers)
        self.let_pass(LIMITS.key_lifetime_ms)
        self.order_with_key(at, 300.0)
        self.let_pass(400.0)
        self.repeat(0, list(NAMES), 300.0)

    @rule(name=INSTANCE)
    def read_list(self, name: str) -> None:
        self.list_held[name] = len(self.lists) - 1
        ownership = self.world.instances_by_name[name].desk.keys.ownership
        ownership.take_list(self.lists[-1], self.world.clock.now_ms())


TestTicketMachine = TicketMachine.TestCase
TestTicketMachine.settings = SETTINGS
TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = SETTINGS
