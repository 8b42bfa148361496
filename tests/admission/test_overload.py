"""Admission under overload, on virtual time."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest
from result import Err, Ok

from fakes import virtual_clock
from radishmount.admission import Admission
from radishmount.codes import Code, RunStatus
from radishmount.counters import Counters
from radishmount.publication import Preference, Rule


pytestmark = pytest.mark.looptime

SLOTS = 10
SERVICE_MS = 50.0
HOP_MS = 4.0
CAPACITY_PER_S = SLOTS / SERVICE_MS * 1000.0


def rule(name: str, priority: int, quota_per_s: float = 100_000.0) -> Rule:
    return Rule(
        name=name,
        target="tags",
        prefer=Preference.TAIL,
        deadline_ms=600.0,
        hedge_ratio=0.0,
        quota_per_s=quota_per_s,
        priority=priority,
        idempotent=True,
    )


@dataclass
class Shop:
    """Endpoints with `SLOTS` slots in all, behind one admission."""

    admission: Admission
    slots: asyncio.Semaphore
    queued: int = 0
    ran: int = 0
    good: Counter[str] = field(default_factory=Counter)
    asked: Counter[str] = field(default_factory=Counter)
    refused: Counter[Code] = field(default_factory=Counter)
    latencies_ms_by_caller: dict[str, list[float]] = field(default_factory=dict)

    async def ask(self, caller: str, bound: Rule, random: Random) -> None:
        """Ask once; what was refused must not have reached a slot."""
        clock = self.admission.clock
        started_ms = clock.now_ms()
        deadline_at_ms = started_ms + bound.deadline_ms
        self.asked[caller] += 1
        entered = await self.admission.admit(caller, bound, deadline_at_ms)
        if isinstance(entered, Err):
            assert entered.err_value.ran is RunStatus.NOT_RUN
            self.refused[entered.err_value.code] += 1
            return
        await self._work(SERVICE_MS * (0.7 + 0.6 * random.random()))
        entered.ok_value.release(answered=True)
        latency_ms = clock.now_ms() - started_ms
        self.latencies_ms_by_caller.setdefault(caller, []).append(latency_ms)
        if latency_ms <= bound.deadline_ms:
            self.good[caller] += 1

    def p99_ms(self, caller: str) -> float:
        """Return the latency that 99 in 100 answers kept."""
        ordered = sorted(self.latencies_ms_by_caller[caller])
        return ordered[int(0.99 * (len(ordered) - 1))]

    async def _work(self, work_ms: float) -> None:
        await asyncio.sleep(HOP_MS / 1000.0)
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            self.ran += 1
            await asyncio.sleep(work_ms / 1000.0)
        await asyncio.sleep(HOP_MS / 1000.0)


def make_shop() -> Shop:
    shop: Shop
    admission = Admission(
        virtual_clock(),
        Counters(),
        slot_share_of=lambda target: float(SLOTS),
        queued_per_slot_of=lambda target: shop.queued / SLOTS,
    )
    shop = Shop(admission, asyncio.Semaphore(SLOTS))
    return shop


async def load(
    shop: Shop, rates_per_s: dict[str, float], rules: dict[str, Rule], duration_s: float
) -> None:
    """Ask at the given rates, whatever becomes of what was asked before."""
    random = Random(1)
    tasks: list[asyncio.Task[None]] = []

    async def arrive(caller: str) -> None:
        ends_at = asyncio.get_running_loop().time() + duration_s
        while True:
            await asyncio.sleep(random.expovariate(rates_per_s[caller]))
            if asyncio.get_running_loop().time() >= ends_at:
                return
            tasks.append(asyncio.create_task(shop.ask(caller, rules[caller], random)))

    await asyncio.gather(*(arrive(caller) for caller in rates_per_s))
    await asyncio.gather(*tasks)


class TestOverload:
    """Twice what the endpoints can do, desk and engraving together."""

    RULES = {"desk": rule("desk", 1), "engraving": rule("engraving", 8)}

    async def test_goodput_and_the_tail_of_the_desk_hold(self) -> None:
        unloaded = make_shop()
        await load(unloaded, {"desk": 0.3 * CAPACITY_PER_S}, self.RULES, 8.0)
        shop = make_shop()
        rates = {"desk": 0.3 * CAPACITY_PER_S, "engraving": 1.7 * CAPACITY_PER_S}
        await load(shop, rates, self.RULES, 8.0)

        assert sum(shop.good.values()) >= 0.9 * CAPACITY_PER_S * 8.0
        assert shop.p99_ms("desk") <= 2.0 * unloaded.p99_ms("desk")
        assert shop.good["desk"] >= 0.99 * shop.asked["desk"]

    async def test_every_request_is_answered_or_refused_and_no_refusal_ran(self) -> None:
        shop = make_shop()
        rates = {"desk": 0.5 * CAPACITY_PER_S, "engraving": 1.5 * CAPACITY_PER_S}
        await load(shop, rates, self.RULES, 3.0)

        answered = sum(len(times) for times in shop.latencies_ms_by_caller.values())
        assert answered + sum(shop.refused.values()) == sum(shop.asked.values())
        assert shop.ran == answered
        assert (shop.admission.running, shop.admission.waiting) == (0, 0)

    async def test_callers_of_a_class_share_alike(self) -> None:
        shop = make_shop()
        rules = {name: rule(name, 5) for name in ("loud", "quiet")}
        rates = {"loud": 4.0 * CAPACITY_PER_S, "quiet": 0.4 * CAPACITY_PER_S}
        await load(shop, rates, rules, 4.0)

        assert shop.good["quiet"] >= 0.8 * shop.asked["quiet"]
        assert sum(shop.good.values()) >= 0.9 * CAPACITY_PER_S * 4.0

    async def test_one_class_alone_keeps_its_goodput(self) -> None:
        shop = make_shop()
        await load(shop, {"desk": 2.0 * CAPACITY_PER_S}, self.RULES, 4.0)

        assert shop.good["desk"] >= 0.9 * CAPACITY_PER_S * 4.0
        assert shop.good["desk"] == len(shop.latencies_ms_by_caller["desk"])

    async def test_what_cannot_be_in_time_is_refused_at_once(self) -> None:
        shop = make_shop()
        await load(shop, {"desk": 50.0}, self.RULES, 2.0)
        clock = shop.admission.clock
        before_ms = clock.now_ms()
        entered = await shop.admission.admit("desk", self.RULES["desk"], before_ms + 10.0)

        assert entered.err_value.code is Code.CANNOT_MEET_DEADLINE
        assert clock.now_ms() == before_ms


class TestQuotas:
    """The fleet's quota, divided over the listed instances."""

    async def test_two_halves_never_grant_more_than_the_quota(self) -> None:
        bound = rule("desk", 1, quota_per_s=90.0)
        granted = 0
        for _ in range(9):
            shop = make_shop()
            shop.admission.set_instance_count(9)
            for _ in range(30):
                entered = await shop.admission.admit("desk", bound, 10_000_000.0)
                if isinstance(entered, Ok):
                    entered.ok_value.release(answered=True)
                    granted += 1
                    continue
                assert entered.err_value.code is Code.OVER_QUOTA

        assert granted == 90

    async def test_a_quota_fills_again(self) -> None:
        bound = rule("desk", 1, quota_per_s=2.0)
        shop = make_shop()
        codes = []
        for _ in range(4):
            entered = await shop.admission.admit("desk", bound, 10_000_000.0)
            codes.append(entered.is_ok())
            if isinstance(entered, Ok):
                entered.ok_value.release(answered=True)
        await asyncio.sleep(0.5)
        again = await shop.admission.admit("desk", bound, 10_000_000.0)

        assert codes == [True, True, False, False]
        assert again.is_ok()


class TestLane:
    """The queue before one target."""

    async def test_desk_goes_before_engraving(self) -> None:
        shop = make_shop()
        order = []

        async def enter(name: str, priority: int) -> None:
            entered = await shop.admission.admit(name, rule(name, priority), 10_000_000.0)
            order.append(name)
            await asyncio.sleep(0.003)
            entered.unwrap().release(answered=True)

        lane_is_full = [asyncio.create_task(enter("first", 5)) for _ in range(20)]
        await asyncio.sleep(0)
        tasks = [asyncio.create_task(enter("engraving", 8)), asyncio.create_task(enter("desk", 1))]
        await asyncio.gather(*lane_is_full, *tasks)

        assert order[20:] == ["desk", "engraving"]

    async def test_a_full_queue_makes_room_for_a_better_class(self) -> None:
        shop = make_shop()
        admission = shop.admission
        bounds = {name: rule(name, priority) for name, priority in (("e", 8), ("d", 1))}
        held = [(await admission.admit("e", bounds["e"], 10_000_000.0)).unwrap() for _ in range(20)]
        waiting = [
            asyncio.create_task(admission.admit("e", bounds["e"], 10_000_000.0)) for _ in range(64)
        ]
        await asyncio.sleep(0)
        late = await admission.admit("e2", rule("e2", 9), 10_000_000.0)
        desk = asyncio.create_task(admission.admit("d", bounds["d"], 10_000_000.0))
        await asyncio.sleep(0)
        held.pop().release(answered=False)
        entered = await desk
        refused = await waiting[0]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

        assert late.err_value.code is Code.OVERLOADED
        assert entered.is_ok()
        assert refused.err_value.code is Code.OVERLOADED

    async def test_one_that_gives_up_frees_its_place(self) -> None:
        shop = make_shop()
        admission = shop.admission
        bound = rule("d", 1)
        held = [(await admission.admit("d", bound, 10_000_000.0)).unwrap() for _ in range(20)]
        task = asyncio.create_task(admission.admit("d", bound, 10_000_000.0))
        await asyncio.sleep(0)
        held.pop().release(answered=False)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for permit in held:
            permit.release(answered=False)

        assert (admission.running, admission.waiting) == (0, 0)
