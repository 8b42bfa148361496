"""Ways to balance load over unequal replicas, side by side on virtual time, without a network.

Each instance forwards through its own pool, its own choice and its own retry budget, so hedges take
part. The endpoints are stand-ins with slots, a queue, a speed of their own, a number of requests
from which on they slow down, pauses and neighbours. Everything is drawn from seeds.

    python benchmarks/endpoint_capacity.py                      # the whole table
    python benchmarks/endpoint_capacity.py "short and long" 8   # one pattern, with 8 instances
"""

import asyncio
import selectors
import sys
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from math import exp
from random import Random
from statistics import fmean
from typing import Any

from result import Ok, Result

from radishmount.audit import AuditTrail
from radishmount.clock import loop_clock
from radishmount.counters import Counters
from radishmount.discovery import EndpointList, ListedEndpoint
from radishmount.endpoints import (
    ChooseEndpoint,
    Endpoint,
    EndpointPool,
    Failure,
    ForwardCall,
    ForwardReply,
    ForwardRequest,
    LatencyEstimate,
    LoadReport,
    decay_weight,
    make_weighted_choice,
)
from radishmount.forwarding import (
    ForwardContext,
    ForwardRetryBudget,
    RetryBudgetSettings,
    forward,
    make_plan,
)
from radishmount.gateway import FORWARD_POLICY
from radishmount.publication import Publication, Service
from radishmount.routes import Route, WeightedService


SERVICE = "s"
DATA_CENTRE = "milano"
SLOTS = 4
REPLICAS = "abc"
INSTANCE_COUNTS = (1, 8, 40)
SEEDS = (1, 2)
WARM_UP_MS = 3_000.0
MEASURED_MS = 15_000.0
TRANSIT_MS = 1.0
WORK_SPREAD = 0.25  # of the logarithm of the work of one request
FULL_FACTOR = 2.0  # how much slower an endpoint works with all slots in use
NEIGHBOUR_MS = 200.0  # for how long a neighbour on the machine is busy or idle
REPORT_HALF_LIFE_MS = 500.0
WEIGHT_EXPONENT = 3.0
MAX_REPORTED_ROUNDS = 4


@dataclass(frozen=True)
class Pattern:
    """A load, and the endpoints that it meets; each field that has one entry for each replica."""

    name: str
    per_s: float
    work_ms_by_kind: dict[str, float]
    slowness: tuple[float, ...] = (1.0, 1.0, 1.0)
    knees: tuple[int, ...] = (SLOTS, SLOTS, SLOTS)
    pause_ms: float = 0.0
    pause_every_ms: float = 3_600.0
    slow_from_ms: float = 0.0
    slow_until_ms: float = 0.0
    slow_factor: float = 8.0
    neighbour_factor: float = 1.0
    reported: Callable[[float], float | None] = lambda slowdown: slowdown


ONE_KIND = {"long": 15.0}
MIXED = {"short": 5.0, "long": 15.0}
UNEQUAL = (0.8, 1.0, 1.3)
PATTERNS = [
    Pattern("calm, equal", 150.0, ONE_KIND),
    Pattern("unequal speeds", 400.0, ONE_KIND, slowness=UNEQUAL),
    Pattern("one knee at half", 400.0, ONE_KIND, knees=(2, 4, 4)),
    Pattern("knees at half", 350.0, ONE_KIND, knees=(2, 2, 2)),
    Pattern("speeds and knees", 400.0, ONE_KIND, slowness=UNEQUAL, knees=(4, 2, 4)),
    Pattern("8 times slower", 300.0, ONE_KIND, slow_from_ms=8_000.0, slow_until_ms=14_000.0),
    Pattern("pauses", 200.0, ONE_KIND, pause_ms=150.0),
    Pattern("neighbours", 300.0, ONE_KIND, neighbour_factor=2.0),
    Pattern("short and long", 500.0, MIXED, slowness=UNEQUAL),
    Pattern(
        "all of it",
        400.0,
        MIXED,
        slowness=UNEQUAL,
        knees=(4, 2, 4),
        pause_ms=150.0,
        slow_from_ms=8_000.0,
        slow_until_ms=14_000.0,
        neighbour_factor=1.5,
    ),
]


class StandIn:
    """One endpoint: `slots` requests at once, each as fast as the pattern says at its start."""

    def __init__(self, name: str, number: int, pattern: Pattern, random: Random) -> None:
        self.name, self.pattern, self.random = name, pattern, random
        self.slowness, self.knee = pattern.slowness[number], pattern.knees[number]
        self.turns_slow = number == 1
        self.running = 0
        self.waiting = 0
        self.served = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.phase_ms = random.uniform(0.0, pattern.pause_every_ms)
        self.busy_neighbour = [random.random() < 0.5 for _ in range(1_000)]

    def machine_factor(self, now_ms: float) -> float:
        """Return how much longer work takes because of the neighbours on the machine."""
        return (
            self.pattern.neighbour_factor
            if self.busy_neighbour[int(now_ms / NEIGHBOUR_MS)]
            else 1.0
        )

    def factor(self, now_ms: float) -> float:
        """Return how much longer than usual a request takes that starts now."""
        pattern = self.pattern
        factor = self.slowness * self.machine_factor(now_ms)
        if self.turns_slow and pattern.slow_from_ms <= now_ms < pattern.slow_until_ms:
            factor *= pattern.slow_factor
        beyond = max(0, self.running - self.knee)
        return factor * (1.0 + (FULL_FACTOR - 1.0) * beyond / max(1, SLOTS - self.knee))

    def paused_ms(self, start_ms: float, length_ms: float) -> float:
        """Return for how long the endpoint pauses during work of `length_ms`."""
        if not self.pattern.pause_ms:
            return 0.0
        since_ms = (start_ms + self.phase_ms) % self.pattern.pause_every_ms
        if since_ms < self.pattern.pause_ms:
            return self.pattern.pause_ms - since_ms
        return self.pattern.pause_ms if since_ms + length_ms > self.pattern.pause_every_ms else 0.0

    async def run(self, work_ms: float) -> LoadReport:
        """Wait for a slot, work, and return the report."""
        loop = asyncio.get_running_loop()
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            now_ms = loop.time() * 1000.0
            length_ms = work_ms * self.factor(now_ms) * exp(self.random.gauss(0.0, WORK_SPREAD))
            await asyncio.sleep((length_ms + self.paused_ms(now_ms, length_ms)) / 1000.0)
        finally:
            self.running -= 1
            self.slots.release()
        self.served += 1
        slowdown = self.pattern.reported(self.machine_factor(loop.time() * 1000.0))
        return LoadReport(SLOTS, self.running, self.waiting, slowdown=slowdown)


@dataclass(slots=True)
class Sample:
    """One reply, as an instance sees it."""

    endpoint: str
    kind: str
    latency_ms: float
    report: LoadReport
    now_ms: float


Cost = Callable[[Endpoint, float, float], float]


@dataclass(slots=True)
class Variant:
    """A choice with the function that learns from each reply."""

    choose: ChooseEndpoint
    record: Callable[[Sample], None] = lambda sample: None


def weighted_by(
    cost_ms: Cost, latencies: dict[str, LatencyEstimate], random: Random
) -> ChooseEndpoint:
    """Return a choice at random by `cost_ms` of the endpoint, the fastest latency and the time."""

    def choose(
        replicas: Iterable[Endpoint], excluded: Collection[str], now_ms: float
    ) -> Endpoint | None:
        candidates = [e for e in replicas if e.name not in excluded and e.is_available(now_ms)]
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        known = [v for e in candidates if (v := latencies[e.name].value_ms) is not None]
        fastest_ms = min(known) if known else 5.0
        weights = [max(0.1, cost_ms(e, fastest_ms, now_ms)) ** -WEIGHT_EXPONENT for e in candidates]
        return random.choices(candidates, weights)[0]

    return choose


def load_of(endpoint: Endpoint, now_ms: float) -> float:
    """Return the requests at an endpoint, those of others by its last report."""
    load = float(endpoint.in_flight)
    if endpoint.reported_at_ms is not None:
        others = min(endpoint.load_of_others, MAX_REPORTED_ROUNDS * endpoint.slots)
        load += others * decay_weight(now_ms - endpoint.reported_at_ms, REPORT_HALF_LIFE_MS)
    return load


def latency_table(rise_weight: float = 0.5) -> dict[str, LatencyEstimate]:
    """Return latencies by endpoint, made on first use."""
    return defaultdict(lambda: LatencyEstimate(rise_weight=rise_weight))


def fixed_weights(random: Random) -> Variant:
    """Every replica gets the same share."""
    return Variant(weighted_by(lambda endpoint, fastest_ms, now_ms: 1.0, latency_table(), random))


def before(random: Random, own_weight: float = 1.0 / SLOTS) -> Variant:
    """One moving average of the latency of each endpoint, times 1 + load / slots."""
    latencies = latency_table()

    def cost_ms(endpoint: Endpoint, fastest_ms: float, now_ms: float) -> float:
        latency_ms = latencies[endpoint.name].decayed_towards(fastest_ms, now_ms)
        latency_ms = max(latency_ms, endpoint.oldest_exchange_age_ms(now_ms))
        others = load_of(endpoint, now_ms) - endpoint.in_flight
        return latency_ms * (1.0 + others / SLOTS + own_weight * endpoint.in_flight)

    def record(sample: Sample) -> None:
        latencies[sample.endpoint].add(sample.latency_ms, sample.now_ms)

    return Variant(weighted_by(cost_ms, latencies, random), record)


def peak_ewma(random: Random) -> Variant:
    """Latency that rises at once and falls with time, times the own requests in flight."""
    latencies = latency_table(rise_weight=1.0)

    def cost_ms(endpoint: Endpoint, fastest_ms: float, now_ms: float) -> float:
        latency_ms = latencies[endpoint.name].decayed_towards(fastest_ms, now_ms)
        return max(latency_ms, endpoint.oldest_exchange_age_ms(now_ms)) * (1 + endpoint.in_flight)

    def record(sample: Sample) -> None:
        latencies[sample.endpoint].add(sample.latency_ms, sample.now_ms)

    return Variant(weighted_by(cost_ms, latencies, random), record)


def gradient(random: Random) -> Variant:
    """A limit for each endpoint from the ratio of its lowest and its present latency."""
    latencies = latency_table()
    limits: dict[str, float] = defaultdict(lambda: float(SLOTS))
    lowest_ms: dict[str, float] = {}

    def cost_ms(endpoint: Endpoint, fastest_ms: float, now_ms: float) -> float:
        latency_ms = latencies[endpoint.name].decayed_towards(fastest_ms, now_ms)
        latency_ms = max(latency_ms, endpoint.oldest_exchange_age_ms(now_ms))
        return latency_ms * (1.0 + load_of(endpoint, now_ms) / limits[endpoint.name])

    def record(sample: Sample) -> None:
        name, latency_ms = sample.endpoint, sample.latency_ms
        latencies[name].add(latency_ms, sample.now_ms)
        lowest_ms[name] = min(latency_ms, lowest_ms.get(name, latency_ms) * 1.01)
        ratio = min(1.0, max(0.5, 1.5 * lowest_ms[name] / latency_ms))
        limit = limits[name]
        limits[name] = max(1.0, limit + 0.2 * (min(SLOTS, limit * ratio + 0.5) - limit))

    return Variant(weighted_by(cost_ms, latencies, random), record)


def built(random: Random) -> Variant:
    """What the sources do."""
    return Variant(make_weighted_choice(DATA_CENTRE, random, FORWARD_POLICY))


VARIANTS: dict[str, Callable[[Random], Variant]] = {
    "fixed weights": fixed_weights,
    "before": before,
    "peak EWMA": peak_ewma,
    "gradient": gradient,
    "own whole": lambda random: before(random, own_weight=1.0),
    "built": built,
}


class StandInChannel:
    """One connection to a `StandIn`; tells the variant of each reply."""

    def __init__(self, endpoint: StandIn, record: Callable[[Sample], None]) -> None:
        self._endpoint, self._record = endpoint, record

    async def exchange(
        self, request: ForwardRequest, remaining_ms: float
    ) -> Result[ForwardReply, Failure]:
        """Reply once the endpoint has done the work."""
        loop = asyncio.get_running_loop()
        sent_at_ms = loop.time() * 1000.0
        kind = request.call.target.strip("/")
        await asyncio.sleep(TRANSIT_MS / 1000.0)
        report = await self._endpoint.run(self._endpoint.pattern.work_ms_by_kind[kind])
        await asyncio.sleep(TRANSIT_MS / 1000.0)
        now_ms = loop.time() * 1000.0
        self._record(Sample(self._endpoint.name, kind, now_ms - sent_at_ms, report, now_ms))
        return Ok(ForwardReply(request.service, 200, (), b"", self._endpoint.name, report))

    async def place(self, request: Any, remaining_ms: float) -> Any:
        """Raise, as nothing is ordered here."""
        raise NotImplementedError

    async def probe(self) -> Result[LoadReport, Failure]:
        """Return an empty report."""
        return Ok(LoadReport())

    async def close(self) -> bool:
        """Close the connection at once."""
        return True


async def make_instance(
    number: int, variant: Variant, stand_ins: dict[str, StandIn], random: Random
) -> ForwardContext:
    """Return the context of one instance that knows all endpoints."""
    clock, counters = loop_clock(asyncio.get_running_loop()), Counters()
    pool = EndpointPool(
        f"entry-{number}",
        lambda address: StandInChannel(stand_ins[address], variant.record),
        clock,
        counters,
        AuditTrail(clock),
        FORWARD_POLICY,
    )
    pool.subsets.connections_per_instance = 1
    listed = EndpointList()
    for name in stand_ins:
        listed.put(name, ListedEndpoint(name, SERVICE, name, DATA_CENTRE, SLOTS), -1e9)
    services = {SERVICE: Service(SERVICE, SLOTS, 64, ())}
    publication = listed.merge_into(Publication(1, "d", services_by_name=services))
    await pool.apply_publication(publication, [f"entry-{number}"])
    for endpoint in pool.endpoints_of(SERVICE):
        endpoint.available_since_ms = -1e9
    budget = ForwardRetryBudget(RetryBudgetSettings(ratio=0.2, slack=20.0))
    return ForwardContext(pool, clock, random, variant.choose, counters, budget)


@dataclass
class Figures:
    """What the callers and the endpoints of the runs of one pattern saw."""

    latencies_ms: list[float] = field(default_factory=list)
    late: int = 0
    hedges: float = 0.0
    served: list[int] = field(default_factory=lambda: [0] * len(REPLICAS))

    def row(self) -> str:
        """Return the figures as a row of the table."""
        ordered = sorted(self.latencies_ms)
        count = len(ordered)
        p50, p99 = ordered[count // 2], ordered[int(count * 0.99)]
        shares = " ".join(f"{100 * n / sum(self.served):.0f}" for n in self.served)
        return (
            f"{fmean(ordered):.1f} | {p50:.1f} | {p99:.0f} | {100 * self.late / count:.2f}"
            f" | {100 * self.hedges / count:.1f} | {shares}"
        )


async def play(
    pattern: Pattern,
    make_variant: Callable[[Random], Variant],
    instances: int,
    seed: int,
    into: Figures,
) -> None:
    """Send the load of `pattern` for `MEASURED_MS` after the start, and add what was seen."""
    random = Random(seed)
    stand_ins = {
        name: StandIn(name, number, pattern, Random(100 * seed + number))
        for number, name in enumerate(REPLICAS)
    }
    contexts = []
    for number in range(instances):
        variant = make_variant(Random(1_000 * seed + number))
        contexts.append(await make_instance(number, variant, stand_ins, Random(seed + number)))
    routes = {
        kind: Route(
            kind,
            "h",
            "/",
            services=(WeightedService(SERVICE),),
            timeout_ms=2_000.0,
            target_latency_ms=10.0 * work_ms,
        )
        for kind, work_ms in pattern.work_ms_by_kind.items()
    }
    kinds = list(routes)
    loop = asyncio.get_running_loop()

    async def send(number: int) -> None:
        context, route = random.choice(contexts), routes[random.choice(kinds)]
        sent_at_ms = loop.time() * 1000.0
        call = ForwardCall(f"{number}", "GET", f"/{route.name}")
        await forward(make_plan(call, route, sent_at_ms, None, context.random), context)
        if sent_at_ms < WARM_UP_MS:
            return
        took_ms = loop.time() * 1000.0 - sent_at_ms
        into.latencies_ms.append(took_ms)
        into.late += took_ms > 0.4 * route.target_latency_ms

    sends = []
    served_before = [0] * len(REPLICAS)
    hedges_before = 0.0
    while (now_ms := loop.time() * 1000.0) < WARM_UP_MS + MEASURED_MS:
        if now_ms < WARM_UP_MS:
            served_before = [stand_in.served for stand_in in stand_ins.values()]
            hedges_before = sum(c.counters.value("forwarded", "hedge") for c in contexts)
        sends.append(asyncio.ensure_future(send(len(sends))))
        await asyncio.sleep(random.expovariate(pattern.per_s))
    await asyncio.gather(*sends)
    for number, stand_in in enumerate(stand_ins.values()):
        into.served[number] += stand_in.served - served_before[number]
    hedges = sum(context.counters.value("forwarded", "hedge") for context in contexts)
    into.hedges += hedges - hedges_before
    for context in contexts:
        await context.pool.stop()


def main() -> None:
    """Print one table for each number of instances."""
    patterns = [p for p in PATTERNS if len(sys.argv) < 2 or sys.argv[1] in ("all", p.name)]
    counts = [int(sys.argv[2])] if len(sys.argv) > 2 else INSTANCE_COUNTS
    variants = sys.argv[3].split(",") if len(sys.argv) > 3 else list(VARIANTS)
    print("| pattern | instances | way | mean ms | p50 | p99 | late % | hedges % | shares |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for pattern in patterns:
        for instances in counts:
            for name in variants:
                figures = Figures()
                for seed in SEEDS:
                    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
                        runner.run(play(pattern, VARIANTS[name], instances, seed, figures))
                print(f"| {pattern.name} | {instances} | {name} | {figures.row()} |", flush=True)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes at once while nothing is due."""

    def __init__(self) -> None:
        selector = selectors.SelectSelector()
        super().__init__(selector)
        self.now_s = 0.0

        def select(timeout_s: float | None = None) -> list[Any]:
            self.now_s += timeout_s or 0.0
            return []

        selector.select = select  # type: ignore[method-assign]

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s


if __name__ == "__main__":
    main()
