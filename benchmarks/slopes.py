"""Marginal costs, from which docs/CAPACITY.md is computed.

    python benchmarks/slopes.py            # prints the table
    python benchmarks/slopes.py > docs/slopes.md

Each row gives a cost at several sizes and the slope between the smallest and the largest size.
CPU times are the minimum of several rounds, because other load on the machine only increases them.
"""

import asyncio
import gc
import resource
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import msgpack

from radishmount.audit import AuditTrail
from radishmount.border import build_publication, parse_object, read_bundle, write_bundle
from radishmount.clock import loop_clock
from radishmount.counters import Counters
from radishmount.endpoints import (
    Endpoint,
    EndpointPool,
    InstanceSubsets,
    LoadReport,
    Row,
    SubReply,
    make_least_time_choice,
)
from radishmount.publication import EndpointSpec, Publication
from radishmount.queries import merge_rows
from radishmount.snapshots import choose_complete_snapshot


ROUNDS = 5
REPLICAS = 3
MAX_CONNECTIONS = 25


@dataclass(frozen=True, slots=True)
class CostRow:
    """One row of the table: a cost at each size, in `unit`."""

    label: str
    unit: str
    sizes: Sequence[int]
    costs: Sequence[float]

    @property
    def slope(self) -> float:
        """Return by how much the cost grows for each further unit of size."""
        return (self.costs[-1] - self.costs[0]) / (self.sizes[-1] - self.sizes[0])

    def __str__(self) -> str:
        """Return the row in Markdown."""
        costs = ", ".join(
            f"{size}: {cost:,.1f}" for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return f"| {self.label} | {costs} | {self.slope:.4g} {self.unit} |"


def min_cpu_us(function: Callable[[], object]) -> float:
    """Return the minimum CPU time of a call of `function` over the rounds, in microseconds."""
    times_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        function()
        times_us.append((time.process_time_ns() - started_ns) / 1000.0)
    return min(times_us)


def memory_kib(build: Callable[[], object]) -> float:
    """Return the memory used by the value that `build` returns, in KiB."""
    gc.collect()
    tracemalloc.start()
    value = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return size / 1024.0


def make_objects(endpoints: int) -> list[dict[str, object]]:
    """Return published objects with `endpoints` endpoints, three per service and shard."""
    services = endpoints // REPLICAS
    key_bounds = ["", *(f"{n:06d}" for n in range(1, services)), None]
    objects: list[dict[str, object]] = [
        {"kind": "data-centre", "name": "dc", "region": "r"},
        {
            "kind": "collection",
            "name": "c",
            "parts": [
                {"name": f"part-{n}", "keys": {"from": key_bounds[n], "to": key_bounds[n + 1]}}
                for n in range(services)
            ],
        },
    ]
    for n in range(services):
        replicas = [
            {
                "name": f"service-{n}-{i}",
                "data_centre": "dc",
                "address": f"127.{n // 200}.{n % 200}.{i}:80",
            }
            for i in range(REPLICAS)
        ]
        service = {
            "kind": "service",
            "name": f"service-{n}",
            "slots": 2,
            "connections": MAX_CONNECTIONS,
            "endpoints": replicas,
        }
        shard = {
            "kind": "shard",
            "name": f"shard-{n}",
            "collection": "c",
            "service": f"service-{n}",
            "keys": {"from": key_bounds[n], "to": key_bounds[n + 1]},
        }
        objects.extend((service, shard))
    return objects


def make_publication(endpoints: int) -> Publication:
    """Return the objects of `make_objects` as a publication."""
    objects = [parse_object(raw).unwrap() for raw in make_objects(endpoints)]
    return build_publication(1, "d", objects).unwrap()


def make_endpoint(name: str) -> Endpoint:
    """Return an endpoint whose health is known from a recent load report."""
    endpoint = Endpoint(EndpointSpec(name, "dc", "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(2, 0, 0, False, frozenset({1})), 0.0, 0.0)
    return endpoint


def measure_publication() -> list[CostRow]:
    """Measure a bundle: its size, the time to read and check it, and the memory it takes."""
    sizes = (330, 1650, 3300)
    bundles = [write_bundle(1, make_objects(size)) for size in sizes]
    return [
        CostRow("bundle, KB by endpoints", "KB", sizes, [len(b) / 1000.0 for b in bundles]),
        CostRow(
            "reading and checking a bundle, ms by endpoints",
            "ms",
            sizes,
            [min_cpu_us(lambda b=b: read_bundle(b).unwrap()) / 1000.0 for b in bundles],
        ),
        CostRow(
            "publication in memory, KiB by endpoints",
            "KiB",
            sizes,
            [memory_kib(lambda b=b: read_bundle(b).unwrap()) for b in bundles],
        ),
    ]


def measure_endpoints() -> list[CostRow]:
    """Measure the memory of endpoint records and of their connection pools."""
    sizes = (330, 1650, 3300)

    def make_endpoints(size: int) -> list[Endpoint]:
        return [make_endpoint(f"e-{n}") for n in range(size)]

    return [
        CostRow(
            "endpoint records, KiB by endpoints",
            "KiB",
            sizes,
            [memory_kib(lambda s=s: make_endpoints(s)) for s in sizes],
        ),
        CostRow(
            "connection pools with one connection task, KiB by endpoints",
            "KiB",
            sizes,
            [asyncio.run(_connection_pools_kib(s)) for s in sizes],
        ),
    ]


class _IdleChannel:
    async def exchange(self, request, remaining_ms):  # type: ignore[no-untyped-def]
        await asyncio.Event().wait()

    async def probe(self):  # type: ignore[no-untyped-def]
        await asyncio.Event().wait()

    async def close(self) -> bool:
        return True


async def _connection_pools_kib(endpoints: int) -> float:
    publication = make_publication(endpoints)
    clock = loop_clock(asyncio.get_running_loop())
    pool = EndpointPool(
        "entry-0", lambda address: _IdleChannel(), clock, Counters(), AuditTrail(clock)
    )
    gc.collect()
    tracemalloc.start()
    await pool.apply_publication(publication, ["entry-0"])
    await asyncio.sleep(0)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await pool.stop()
    return size / 1024.0


def measure_query_decisions() -> list[CostRow]:
    """Measure the CPU time of the decisions of one search, by its number of shards."""
    sizes = (10, 100, 1300)
    choose_endpoint = make_least_time_choice("dc", Random(1))
    endpoints_by_service = {
        f"service-{n}": [make_endpoint(f"{n}-{i}") for i in range(3)] for n in range(1300)
    }
    shards_by_size = {
        size: make_publication(size * REPLICAS).shards_by_collection["c"] for size in sizes
    }

    def choose_snapshot(size: int) -> None:
        shards = shards_by_size[size]
        assert (
            choose_complete_snapshot("c", shards, lambda s: endpoints_by_service[s], 1.0)
            is not None
        )

    def choose_endpoints(size: int) -> None:
        for n in range(size):
            choose_endpoint(endpoints_by_service[f"service-{n}"], (), 1.0)

    def merge_replies(size: int) -> None:
        merge_rows(replies_by_size[size], 20)

    replies_by_size = {size: [_make_reply(n) for n in range(size)] for size in sizes}
    return [
        CostRow(
            "choice of a snapshot, us by shards",
            "us",
            sizes,
            [min_cpu_us(lambda s=s: choose_snapshot(s)) for s in sizes],
        ),
        CostRow(
            "choice of endpoints, us by shards",
            "us",
            sizes,
            [min_cpu_us(lambda s=s: choose_endpoints(s)) for s in sizes],
        ),
        CostRow(
            "merge of 20 rows, us by shards",
            "us",
            sizes,
            [min_cpu_us(lambda s=s: merge_replies(s)) for s in sizes],
        ),
    ]


def _make_reply(number: int) -> SubReply:
    rows = tuple(Row(f"{number}-{i}", 1.0 / (i + 1)) for i in range(20))
    return SubReply("r", number, f"shard-{number}", 1, rows, LoadReport())


def measure_instance_subsets() -> list[CostRow]:
    """Measure how long choosing each endpoint's subset of instances takes, by fleet size."""
    sizes = (9, 100, 500)
    names_by_size = {size: [f"entry-{n}" for n in range(size)] for size in sizes}

    def make_subsets(size: int) -> InstanceSubsets:
        subsets = InstanceSubsets()
        subsets.set_instances(names_by_size[size])
        for n in range(100):
            subsets.subset_for(f"e-{n}", MAX_CONNECTIONS)
        return subsets

    def add_instance(subsets: InstanceSubsets) -> None:
        subsets.set_instances([*subsets.instances, f"entry-{len(subsets.instances)}"])

    subsets_by_size = {size: make_subsets(size) for size in sizes}
    return [
        CostRow(
            "instance subsets of 100 endpoints, first ranking, us by instances",
            "us",
            sizes,
            [min_cpu_us(lambda s=s: make_subsets(s)) for s in sizes],
        ),
        CostRow(
            "instance subsets of 100 endpoints when one instance joins, us by instances",
            "us",
            sizes,
            [min_cpu_us(lambda s=s: add_instance(subsets_by_size[s])) for s in sizes],
        ),
    ]


def measure_frames() -> list[CostRow]:
    """Measure encoding and decoding a batch of sub-requests and their replies in msgpack frames."""
    sizes = (1, 16, 64)
    random = Random(1)
    request = ["r-0000000000000001", 1, "shard-0001", 7, 180.0]
    rows = [["key-000001", random.random(), {"stock": 3}] for _ in range(5)]

    def encode_and_decode(size: int) -> None:
        for _ in range(100):
            msgpack.unpackb(msgpack.packb([request] * size))
            msgpack.unpackb(msgpack.packb([[*request, rows]] * size))

    costs_us = [min_cpu_us(lambda s=s: encode_and_decode(s)) / 100.0 for s in sizes]
    return [
        CostRow(
            "encoding and decoding a request frame and its reply, us by sub-requests",
            "us",
            sizes,
            costs_us,
        )
    ]


def main() -> None:
    """Print the table."""
    interpreter_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print("| cost | at sizes | slope |")
    print("| --- | --- | --- |")
    print(f"| interpreter with the libraries, MiB | {interpreter_kib / 1024.0:.0f} | |")
    for measure in (
        measure_publication,
        measure_endpoints,
        measure_query_decisions,
        measure_instance_subsets,
        measure_frames,
    ):
        for row in measure():
            print(row)


if __name__ == "__main__":
    main()
