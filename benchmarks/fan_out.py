"""Processor time for a sub-request: the whole entry against a bare aiohttp fan-out.

Endpoints run in a process of their own, so that only the client side is counted; start them first:

    python benchmarks/fan_out.py endpoints 9400 &
    python benchmarks/fan_out.py compare 9400

Both sides send the same bodies to the same endpoints in turn, in rounds, within one process.
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


FREE = SocketAddress("127.0.0.1", 0)
SHARDS = 30
ROUNDS = 10
QUERIES_PER_ROUND = 100
SERVICE_MS = 1.0
KEYS = [f"{n:03d}" for n in range(1000)]


async def serve_endpoints(first_port: int) -> None:
    """Serve one endpoint for each shard until the process is ended."""
    for n in range(SHARDS):
        behaviour = EndpointBehaviour(service_ms=SERVICE_MS)
        stand_in = EndpointStandIn(f"e-{n}", 8, {1}, Random(n), behaviour)
        await serve(stand_in.app(), SocketAddress("127.0.0.1", first_port + n))
    await asyncio.Event().wait()


def objects(first_port: int) -> list[dict[str, object]]:
    """Return a collection with one shard and one endpoint for each port."""
    bounds: list[str | None] = ["", *(KEYS[n] for n in range(1, SHARDS)), None]
    listed: list[dict[str, object]] = [
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
        listed.append(
            {
                "kind": "service",
                "name": f"s-{n}",
                "slots": 8,
                "connections": 25,
                "endpoints": [endpoint],
            }
        )
        listed.append(
            {
                "kind": "shard",
                "name": f"shard-{n}",
                "collection": "catalogue",
                "service": f"s-{n}",
                "keys": {"from": bounds[n], "to": bounds[n + 1]},
            }
        )
    return listed


async def start_node(first_port: int) -> Node:
    """Start an entry over a stand-in of the platform, and wait until a search is whole."""
    clock = loop_clock(asyncio.get_running_loop())
    platform = PlatformStandIn()
    server = await serve_stand_in(platform.app())
    await platform.publish(1, write_bundle(1, objects(first_port)))
    settings = EntrySettings("entry-a", "milano", FREE, FREE, FREE, str(server.address), "k" * 16)
    started = await start_entry(settings, clock, Random(1), AuditTrail(clock))
    entry = started.unwrap()
    address = str(entry.callers.address)
    await platform.list_instances(ListedInstance("entry-a", "entry", "milano", "live", address))
    while not await whole_search(entry.node):
        await asyncio.sleep(0.05)
    return entry.node


async def whole_search(node: Node) -> bool:
    """Send one search through the entry; tell whether it was whole."""
    call = SearchCall("bench", "catalogue", SearchTerms("washi"))
    answered = await node.search(node.new_request_id(), call)
    return answered.is_ok() and answered.unwrap().coverage.complete


async def bare_search(session: aiohttp.ClientSession, first_port: int) -> None:
    """Send the same sub-requests with nothing but aiohttp, and read the replies as JSON."""

    async def one(n: int) -> object:
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

    await asyncio.gather(*(one(n) for n in range(SHARDS)))


async def compare(first_port: int) -> None:
    """Print the processor time for a sub-request of both sides, round by round."""
    node = await start_node(first_port)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    await bare_search(session, first_port)
    entry_us: list[float] = []
    bare_us: list[float] = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(QUERIES_PER_ROUND):
            assert await whole_search(node)
        entry_us.append(_us_each(started_s))
        started_s = time.process_time()
        for _ in range(QUERIES_PER_ROUND):
            await bare_search(session, first_port)
        bare_us.append(_us_each(started_s))
    entry = statistics.median(entry_us)
    bare = statistics.median(bare_us)
    print(f"entry {entry:.0f} us, bare aiohttp {bare:.0f} us, ratio {entry / bare:.2f}")
    await session.close()
    await node.stop()


def _us_each(started_s: float) -> float:
    return (time.process_time() - started_s) * 1e6 / (QUERIES_PER_ROUND * SHARDS)


def main() -> None:
    """Run as the docstring of the module says."""
    role, first_port = sys.argv[1], int(sys.argv[2])
    work = serve_endpoints(first_port) if role == "endpoints" else compare(first_port)
    asyncio.run(work)


if __name__ == "__main__":
    main()
