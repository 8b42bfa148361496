"""CPU time per sub-request of an entry, compared with a fan-out that uses only aiohttp.

The endpoints run in a separate process, so that only the client side is measured. Start them first:

    python benchmarks/fan_out.py endpoints 9400 &
    python benchmarks/fan_out.py compare 9400

Both sides run in one process, alternate in rounds, and send equal requests to the same endpoints.
"""

import asyncio
import statistics
import sys
import time
from random import Random

import aiohttp
import orjson

from radishmount.audit import AuditTrail
from radishmount.border import EntrySettings, SocketAddress, serve, write_bundle
from radishmount.clock import loop_clock
from radishmount.endpoints import SearchTerms
from radishmount.node import Node
from radishmount.programs.entry import start_entry
from radishmount.queries import SearchCall
from radishmount.standins import (
    EndpointBehaviour,
    EndpointStandIn,
    ListedInstance,
    PlatformStandIn,
    serve_stand_in,
)


ANY_LOOPBACK_PORT = SocketAddress("127.0.0.1", 0)
SHARDS = 30
ROUNDS = 10
QUERIES_PER_ROUND = 100
SERVICE_MS = 1.0
KEYS = [f"{n:03d}" for n in range(1000)]


async def serve_endpoints(first_port: int) -> None:
    """Serve one endpoint per shard until the process is terminated."""
    for n in range(SHARDS):
        behaviour = EndpointBehaviour(service_ms=SERVICE_MS)
        stand_in = EndpointStandIn(f"e-{n}", 8, {1}, Random(n), behaviour)
        await serve(stand_in.app(), SocketAddress("127.0.0.1", first_port + n))
    await asyncio.Event().wait()


def published_objects(first_port: int) -> list[dict[str, object]]:
    """Return the objects of a collection: one endpoint per shard, each on its own port."""
    key_bounds: list[str | None] = ["", *(KEYS[n] for n in range(1, SHARDS)), None]
    published: list[dict[str, object]] = [
        {"kind": "data-centre", "name": "milano", "region": "padana"},
        {"kind": "caller", "name": "bench", "data_centre": "milano", "rules": ["search"]},
        {
            "kind": "rule",
            "name": "search",
            "target": "catalogue",
            "prefer": "coverage",
            "deadline": "5s",
            "quota": "1000000/s",
            "hedge_ratio": 0.0,
        },
        {
            "kind": "collection",
            "name": "catalogue",
            "parts": [{"name": "all", "keys": {"from": "", "to": None}}],
        },
    ]
    for n in range(SHARDS):
        endpoint = {
            "name": f"e-{n}",
            "data_centre": "milano",
            "address": f"127.0.0.1:{first_port + n}",
        }
        published.append(
            {
                "kind": "service",
                "name": f"s-{n}",
                "slots": 8,
                "connections": 25,
                "endpoints": [endpoint],
            }
        )
        published.append(
            {
                "kind": "shard",
                "name": f"shard-{n}",
                "collection": "catalogue",
                "service": f"s-{n}",
                "keys": {"from": key_bounds[n], "to": key_bounds[n + 1]},
            }
        )
    return published


async def start_node(first_port: int) -> Node:
    """Start an entry with a platform stand-in, and wait until a search has complete coverage."""
    clock = loop_clock(asyncio.get_running_loop())
    platform = PlatformStandIn()
    server = await serve_stand_in(platform.app())
    await platform.publish(1, write_bundle(1, published_objects(first_port)))
    settings = EntrySettings(
        "entry-a",
        "milano",
        ANY_LOOPBACK_PORT,
        ANY_LOOPBACK_PORT,
        ANY_LOOPBACK_PORT,
        str(server.address),
        "k" * 16,
    )
    result = await start_entry(settings, clock, Random(1), AuditTrail(clock))
    entry = result.unwrap()
    address = str(entry.callers.address)
    await platform.list_instances(ListedInstance("entry-a", "entry", "milano", "live", address))
    while not await search_is_complete(entry.node):
        await asyncio.sleep(0.05)
    return entry.node


async def search_is_complete(node: Node) -> bool:
    """Send one search through the entry; return whether its coverage is complete."""
    call = SearchCall("bench", "catalogue", SearchTerms("washi"))
    result = await node.search(node.new_request_id(), call)
    return result.is_ok() and result.unwrap().coverage.complete


async def aiohttp_search(session: aiohttp.ClientSession, first_port: int) -> None:
    """Send the same sub-requests with aiohttp alone, and parse the replies as JSON."""

    async def send_sub_request(n: int) -> object:
        body = orjson.dumps(
            {
                "request_id": "bare",
                "attempt": n,
                "shard": f"shard-{n}",
                "index_version": 1,
                "deadline_ms": 5000.0,
                "text": "washi",
                "limit": 20,
                "keys": {"from": "", "to": None},
            }
        )
        url = f"http://127.0.0.1:{first_port + n}/v1/search"
        async with session.post(url, data=body) as response:
            return orjson.loads(await response.read())

    await asyncio.gather(*(send_sub_request(n) for n in range(SHARDS)))


async def compare(first_port: int) -> None:
    """Print the median CPU time per sub-request of the entry and of aiohttp alone."""
    node = await start_node(first_port)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    await aiohttp_search(session, first_port)
    entry_times_us: list[float] = []
    bare_times_us: list[float] = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(QUERIES_PER_ROUND):
            assert await search_is_complete(node)
        entry_times_us.append(_us_per_sub_request(started_s))
        started_s = time.process_time()
        for _ in range(QUERIES_PER_ROUND):
            await aiohttp_search(session, first_port)
        bare_times_us.append(_us_per_sub_request(started_s))
    entry_us = statistics.median(entry_times_us)
    bare_us = statistics.median(bare_times_us)
    print(f"entry {entry_us:.0f} us, bare aiohttp {bare_us:.0f} us, ratio {entry_us / bare_us:.2f}")
    await session.close()
    await node.stop()


def _us_per_sub_request(started_s: float) -> float:
    return (time.process_time() - started_s) * 1e6 / (QUERIES_PER_ROUND * SHARDS)


def main() -> None:
    """Run the role named on the command line: `endpoints` or `compare`."""
    role, first_port = sys.argv[1], int(sys.argv[2])
    coroutine = serve_endpoints(first_port) if role == "endpoints" else compare(first_port)
    asyncio.run(coroutine)


if __name__ == "__main__":
    main()
