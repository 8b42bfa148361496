"""Tests of admission control under overload, on virtual time."""

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


def make_rule(name: str, priority: int, quota_per_s: float = 100_000.0) -> Rule:
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
class AdmissionHarness:
    """Admission control in front of endpoints with `SLOTS` slots in total."""

    admission: Admission
    slots: asyncio.Semaphore
    queued: int = 0
    ran: int = 0
    in_time_by_caller: Counter[str] = field(default_factory=Counter)
    sent_by_caller: Counter[str] = field(default_factory=Counter)
    refused_by_code: Counter[Code] = field(default_factory=Counter)
    latencies_ms_by_caller: dict[str, list[float]] = field(default_factory=dict)

    async def send(self, caller: str, rule: Rule, random: Random) -> None:
        """Send one request; a refused one must be reported as not run."""
        clock = self.admission.clock
        started_ms = clock.now_ms()
        deadline_at_ms = started_ms + rule.deadline_ms
        self.sent_by_caller[caller] += 1
        admitted = await self.admission.admit(caller, rule, deadline_at_ms)
        if isinstance(admitted, Err):
            assert admitted.err_value.ran is RunStatus.NOT_RUN
            self.refused_by_code[admitted.err_value.code] += 1
            return
        await self._work(SERVICE_MS * (0.7 + 0.6 * random.random()))
        admitted.ok_value.release(answered=True)
        latency_ms = clock.now_ms() - started_ms
        self.latencies_ms_by_caller.setdefault(caller, []).append(latency_ms)
        if latency_ms <= rule.deadline_ms:
            self.in_time_by_caller[caller] += 1

    def p99_ms(self, caller: str) -> float:
        """Return the 99th percentile of the latencies of a caller."""
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


def make_harness() -> AdmissionHarness:
    harness: AdmissionHarness
    admission = Admission(
        virtual_clock(),
        Counters(),
        slot_share_of=lambda target: float(SLOTS),
        queued_per_slot_of=lambda target: harness.queued / SLOTS,
    )
    harness = AdmissionHarness(admission, asyncio.Semaphore(SLOTS))
    return harness


async def send_at_rates(
    harness: AdmissionHarness,
    rates_per_s: dict[str, float],
    rules: dict[str, Rule],
    duration_s: float,
) -> None:
    """Send requests at the given rates, without waiting for earlier ones (open loop)."""
    random = Random(1)
    tasks: list[asyncio.Task[None]] = []

    async def arrive(caller: str) -> None:
        ends_at = asyncio.get_running_loop().time() + duration_s
        while True:
            await asyncio.sleep(random.expovariate(rates_per_s[caller]))
            if asyncio.get_running_loop().time() >= ends_at:
                return
            tasks.append(asyncio.create_task(harness.send(caller, rules[caller], random)))

    await asyncio.gather(*(arrive(caller) for caller in rates_per_s))
    await asyncio.gather(*tasks)


class TestOverload:
    """The callers together send more than the endpoints can serve, mostly twice as much."""

    RULES = {"desk": make_rule("desk", 1), "engraving": make_rule("engraving", 8)}

    async def test_goodput_and_the_tail_latency_of_the_higher_priority_are_kept(self) -> None:
        unloaded = make_harness()
        await send_at_rates(unloaded, {"desk": 0.3 * CAPACITY_PER_S}, self.RULES, 8.0)
        harness = make_harness()
        rates = {"desk": 0.3 * CAPACITY_PER_S, "engraving": 1.7 * CAPACITY_PER_S}
        await send_at_rates(harness, rates, self.RULES, 8.0)

        assert sum(harness.in_time_by_caller.values()) >= 0.9 * CAPACITY_PER_S * 8.0
        assert harness.p99_ms("desk") <= 2.0 * unloaded.p99_ms("desk")
        assert harness.in_time_by_caller["desk"] >= 0.99 * harness.sent_by_caller["desk"]

    async def test_every_request_is_answered_or_refused_and_no_refused_request_ran(self) -> None:
        harness = make_harness()
        rates = {"desk": 0.5 * CAPACITY_PER_S, "engraving": 1.5 * CAPACITY_PER_S}
        await send_at_rates(harness, rates, self.RULES, 3.0)

        answered = sum(len(times) for times in harness.latencies_ms_by_caller.values())
        assert answered + sum(harness.refused_by_code.values()) == sum(
            harness.sent_by_caller.values()
        )
        assert harness.ran == answered
        assert (harness.admission.running, harness.admission.waiting_count) == (0, 0)

    async def test_callers_of_one_priority_get_equal_shares(self) -> None:
        harness = make_harness()
        rules = {name: make_rule(name, 5) for name in ("loud", "quiet")}
        rates = {"loud": 4.0 * CAPACITY_PER_S, "quiet": 0.4 * CAPACITY_PER_S}
        await send_at_rates(harness, rates, rules, 4.0)

        assert harness.in_time_by_caller["quiet"] >= 0.8 * harness.sent_by_caller["quiet"]
        assert sum(harness.in_time_by_caller.values()) >= 0.9 * CAPACITY_PER_S * 4.0

    async def test_the_goodput_is_kept_with_a_single_caller(self) -> None:
        harness = make_harness()
        await send_at_rates(harness, {"desk": 2.0 * CAPACITY_PER_S}, self.RULES, 4.0)

        assert harness.in_time_by_caller["desk"] >= 0.9 * CAPACITY_PER_S * 4.0
        assert harness.in_time_by_caller["desk"] == len(harness.latencies_ms_by_caller["desk"])

    async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(self) -> None:
        harness = make_harness()
        await send_at_rates(harness, {"desk": 50.0}, self.RULES, 2.0)
        clock = harness.admission.clock
        before_ms = clock.now_ms()
        admitted = await harness.admission.admit("desk", self.RULES["desk"], before_ms + 10.0)

        assert admitted.err_value.code is Code.CANNOT_MEET_DEADLINE
        assert clock.now_ms() == before_ms


class TestQuotas:
    """The quota of a caller is divided among the listed instances."""

    async def test_all_instances_together_never_grant_more_than_the_quota(self) -> None:
        rule = make_rule("desk", 1, quota_per_s=90.0)
        granted = 0
        for _ in range(9):
            harness = make_harness()
            harness.admission.set_instance_count(9)
            for _ in range(30):
                admitted = await harness.admission.admit("desk", rule, 10_000_000.0)
                if isinstance(admitted, Ok):
                    admitted.ok_value.release(answered=True)
                    granted += 1
                    continue
                assert admitted.err_value.code is Code.OVER_QUOTA

        assert granted == 90

    async def test_a_quota_is_refilled(self) -> None:
        rule = make_rule("desk", 1, quota_per_s=2.0)
        harness = make_harness()
        granted = []
        for _ in range(4):
            admitted = await harness.admission.admit("desk", rule, 10_000_000.0)
            granted.append(admitted.is_ok())
            if isinstance(admitted, Ok):
                admitted.ok_value.release(answered=True)
        await asyncio.sleep(0.5)
        again = await harness.admission.admit("desk", rule, 10_000_000.0)

        assert granted == [True, True, False, False]
        assert again.is_ok()


class TestAdmissionQueue:
    """The queue of one target."""

    async def test_a_higher_priority_runs_first(self) -> None:
        harness = make_harness()
        run_order = []

        async def admit_and_hold(name: str, priority: int) -> None:
            admitted = await harness.admission.admit(name, make_rule(name, priority), 10_000_000.0)
            run_order.append(name)
            await asyncio.sleep(0.003)
            admitted.unwrap().release(answered=True)

        occupying = [asyncio.create_task(admit_and_hold("first", 5)) for _ in range(20)]
        await asyncio.sleep(0)
        tasks = [
            asyncio.create_task(admit_and_hold("engraving", 8)),
            asyncio.create_task(admit_and_hold("desk", 1)),
        ]
        await asyncio.gather(*occupying, *tasks)

        assert run_order[20:] == ["desk", "engraving"]

    async def test_a_full_queue_makes_room_for_a_higher_priority(self) -> None:
        harness = make_harness()
        admission = harness.admission
        rules = {name: make_rule(name, priority) for name, priority in (("e", 8), ("d", 1))}
        permits = [
            (await admission.admit("e", rules["e"], 10_000_000.0)).unwrap() for _ in range(20)
        ]
        waiting = [
            asyncio.create_task(admission.admit("e", rules["e"], 10_000_000.0)) for _ in range(64)
        ]
        await asyncio.sleep(0)
        lower_priority = await admission.admit("e2", make_rule("e2", 9), 10_000_000.0)
        higher_priority = asyncio.create_task(admission.admit("d", rules["d"], 10_000_000.0))
        await asyncio.sleep(0)
        permits.pop().release(answered=False)
        admitted = await higher_priority
        refused = await waiting[0]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

        assert lower_priority.err_value.code is Code.OVERLOADED
        assert admitted.is_ok()
        assert refused.err_value.code is Code.OVERLOADED

    async def test_a_cancelled_request_returns_its_permit(self) -> None:
        harness = make_harness()
        admission = harness.admission
        rule = make_rule("d", 1)
        permits = [(await admission.admit("d", rule, 10_000_000.0)).unwrap() for _ in range(20)]
        task = asyncio.create_task(admission.admit("d", rule, 10_000_000.0))
        await asyncio.sleep(0)
        permits.pop().release(answered=False)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for permit in permits:
            permit.release(answered=False)

        assert (admission.running, admission.waiting_count) == (0, 0)
