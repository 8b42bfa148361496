"""The slopes that docs/CAPACITY.md is worked out from.

    python benchmarks/slopes.py            # prints the table
    python benchmarks/slopes.py > docs/slopes.md

Each line gives a cost at several sizes and the slope between the smallest and the largest.
Processor times are the least of several rounds, as other work on the machine only adds to them.
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
CAP = 25


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the table: a cost at each size, in `unit`."""

    what: str
    unit: str
    sizes: Sequence[int]
    costs: Sequence[float]

    @property
    def slope(self) -> float:
        """Return the growth of the cost for one more of what is counted."""
        return (self.costs[-1] - self.costs[0]) / (self.sizes[-1] - self.sizes[0])

    def __str__(self) -> str:
        """Return the line as a row of a Markdown table."""
        costs = ", ".join(
            f"{size}: {cost:,.1f}" for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return f"| {self.what} | {costs} | {self.slope:.4g} {self.unit} |"


def least_us(work: Callable[[], object]) -> float:
    """Return the least processor time of `work` over the rounds, in microseconds."""
    taken = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        work()
        taken.append((time.process_time_ns() - started_ns) / 1000.0)
    return min(taken)


def memory_kib(make: Callable[[], object]) -> float:
    """Return the memory that what `make` returns holds, in KiB."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1024.0


def objects_of(endpoints: int) -> list[dict[str, object]]:
    """Return a published set of `endpoints` endpoints, three to a service with one shard each."""
    services = endpoints // REPLICAS
    bounds = ["", *(f"{n:06d}" for n in range(1, services)), None]
    objects: list[dict[str, object]] = [
        {"kind": "data-centre", "name": "dc", "region": "r"},
        {
            "kind": "collection",
            "name": "c",
            "parts": [
                {"name": f"part-{n}", "keys": {"from": bounds[n], "to": bounds[n + 1]}}
                for n in range(services)
            ],
        },
    ]
    for n in range(services):
        listed = [
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
            "connections": CAP,
            "endpoints": listed,
        }
        shard = {
            "kind": "shard",
            "name": f"shard-{n}",
            "collection": "c",
            "service": f"service-{n}",
            "keys": {"from": bounds[n], "to": bounds[n + 1]},
        }
        objects.extend((service, shard))
    return objects


def publication_of(endpoints: int) -> Publication:
    """Return the set of `objects_of` as a publication."""
    objects = [parse_object(raw).unwrap() for raw in objects_of(endpoints)]
    return build_publication(1, "d", objects).unwrap()


def live_endpoint(name: str) -> Endpoint:
    """Return an endpoint with young evidence."""
    endpoint = Endpoint(EndpointSpec(name, "dc", "127.0.0.1:80"), slots=2)
    endpoint.record_report(LoadReport(2, 0, 0, False, frozenset({1})), 0.0, 0.0)
    return endpoint


def publication_lines() -> list[Line]:
    """Measure a bundle: its bytes, the time to read and check it, and the memory it holds."""
    sizes = (330, 1650, 3300)
    bundles = [write_bundle(1, objects_of(size)) for size in sizes]
    return [
        Line("bundle, KB by endpoints", "KB", sizes, [len(b) / 1000.0 for b in bundles]),
        Line(
            "reading and checking a bundle, ms by endpoints",
            "ms",
            sizes,
            [least_us(lambda b=b: read_bundle(b).unwrap()) / 1000.0 for b in bundles],
        ),
        Line(
            "publication in memory, KiB by endpoints",
            "KiB",
            sizes,
            [memory_kib(lambda b=b: read_bundle(b).unwrap()) for b in bundles],
        ),
    ]


def endpoint_lines() -> list[Line]:
    """Measure the endpoint records and the links to them."""
    sizes = (330, 1650, 3300)

    def records(size: int) -> list[Endpoint]:
        return [live_endpoint(f"e-{n}") for n in range(size)]

    return [
        Line(
            "endpoint records, KiB by endpoints",
            "KiB",
            sizes,
            [memory_kib(lambda s=s: records(s)) for s in sizes],
        ),
        Line(
            "links with one connection task, KiB by endpoints",
            "KiB",
            sizes,
            [asyncio.run(_links_kib(s)) for s in sizes],
        ),
    ]


class _StillChannel:
    async def exchange(self, request, remaining_ms):  # type: ignore[no-untyped-def]
        await asyncio.Event().wait()

    async def probe(self):  # type: ignore[no-untyped-def]
        await asyncio.Event().wait()

    async def close(self) -> bool:
        return True


async def _links_kib(endpoints: int) -> float:
    publication = publication_of(endpoints)
    clock = loop_clock(asyncio.get_running_loop())
    pool = EndpointPool(
        "entry-0", lambda address: _StillChannel(), clock, Counters(), AuditTrail(clock)
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


def query_lines() -> list[Line]:
    """Measure the decisions of one search by its number of shards."""
    sizes = (10, 100, 1300)
    choose = make_least_time_choice("dc", Random(1))
    by_service = {
        f"service-{n}": [live_endpoint(f"{n}-{i}") for i in range(3)] for n in range(1300)
    }
    shards_by_size = {
        size: publication_of(size * REPLICAS).shards_by_collection["c"] for size in sizes
    }

    def snapshot(size: int) -> None:
        shards = shards_by_size[size]
        assert choose_complete_snapshot("c", shards, lambda s: by_service[s], 1.0) is not None

    def choices(size: int) -> None:
        for n in range(size):
            choose(by_service[f"service-{n}"], (), 1.0)

    def merged(size: int) -> None:
        merge_rows(replies_by_size[size], 20)

    replies_by_size = {size: [_reply(n) for n in range(size)] for size in sizes}
    return [
        Line(
            "choice of a snapshot, us by shards",
            "us",
            sizes,
            [least_us(lambda s=s: snapshot(s)) for s in sizes],
        ),
        Line(
            "choice of endpoints, us by shards",
            "us",
            sizes,
            [least_us(lambda s=s: choices(s)) for s in sizes],
        ),
        Line(
            "merge of 20 rows, us by shards",
            "us",
            sizes,
            [least_us(lambda s=s: merged(s)) for s in sizes],
        ),
    ]


def _reply(number: int) -> SubReply:
    rows = tuple(Row(f"{number}-{i}", 1.0 / (i + 1)) for i in range(20))
    return SubReply("r", number, f"shard-{number}", 1, rows, LoadReport())


def holder_lines() -> list[Line]:
    """Measure the division of one endpoint's connections by the number of instances."""
    sizes = (9, 100, 500)
    names_by_size = {size: [f"entry-{n}" for n in range(size)] for size in sizes}

    def ranked(size: int) -> InstanceSubsets:
        book = InstanceSubsets()
        book.set_instances(names_by_size[size])
        for n in range(100):
            book.subset_for(f"e-{n}", CAP)
        return book

    def one_joins(book: InstanceSubsets) -> None:
        book.set_instances([*book.instances, f"entry-{len(book.instances)}"])

    books = {size: ranked(size) for size in sizes}
    return [
        Line(
            "holders of 100 endpoints, first ranking, us by instances",
            "us",
            sizes,
            [least_us(lambda s=s: ranked(s)) for s in sizes],
        ),
        Line(
            "holders of 100 endpoints when one instance joins, us by instances",
            "us",
            sizes,
            [least_us(lambda s=s: one_joins(books[s])) for s in sizes],
        ),
    ]


def frame_lines() -> list[Line]:
    """Measure a batch of sub-requests in one msgpack frame, encoded and decoded."""
    sizes = (1, 16, 64)
    random = Random(1)
    one = ["r-0000000000000001", 1, "shard-0001", 7, 180.0]
    row = [["key-000001", random.random(), {"stock": 3}] for _ in range(5)]

    def both_ways(size: int) -> None:
        for _ in range(100):
            msgpack.unpackb(msgpack.packb([one] * size))
            msgpack.unpackb(msgpack.packb([[*one, row]] * size))

    costs = [least_us(lambda s=s: both_ways(s)) / 100.0 for s in sizes]
    return [Line("frame out and back, coded at both ends, us by sub-requests", "us", sizes, costs)]


def main() -> None:
    """Print the table."""
    imported_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print("| cost | at sizes | for one more |")
    print("| --- | --- | --- |")
    print(f"| interpreter with the libraries, MiB | {imported_kib / 1024.0:.0f} | |")
    for measure in (publication_lines, endpoint_lines, query_lines, holder_lines, frame_lines):
        for line in measure():
            print(line)


if __name__ == "__main__":
    main()
