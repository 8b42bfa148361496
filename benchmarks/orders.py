"""Latency of an order with and without `Expect: 100-continue`, over loopback.

Run it with `python benchmarks/orders.py`.
"""

import asyncio
import statistics
import time
from random import Random

import aiohttp
import orjson

from radishmount.border import open_endpoint_channel
from radishmount.clock import loop_clock
from radishmount.endpoints import OrderRequest, SendGate
from radishmount.standins import EndpointStandIn, serve_stand_in


ORDERS = 1000
DEADLINE_MS = 1_000.0


async def order_times_with_expect(address: str) -> list[float]:
    """Return the latencies of orders whose body is sent after `100 Continue`, in milliseconds."""
    clock = loop_clock(asyncio.get_running_loop())
    channel = open_endpoint_channel(address)
    times_ms = []
    for number in range(ORDERS):
        gate = SendGate(clock, clock.now_ms() + DEADLINE_MS)
        request = OrderRequest(f"r{number}", 1, "caller", {"number": number}, gate)
        started_s = time.perf_counter()
        (await channel.place(request, DEADLINE_MS)).unwrap()
        times_ms.append((time.perf_counter() - started_s) * 1000.0)
    await channel.close()
    return times_ms


async def order_times_without_expect(address: str) -> list[float]:
    """Return the latencies of orders whose body follows the headers at once, in milliseconds."""
    times_ms = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as session:
        for number in range(ORDERS):
            order = {"number": number}
            body = {"request_id": f"r{number}", "attempt": 1, "caller": "caller", "order": order}
            content = orjson.dumps({**body, "deadline_ms": DEADLINE_MS})
            started_s = time.perf_counter()
            async with session.post(f"http://{address}/v1/orders", data=content) as response:
                await response.read()
            times_ms.append((time.perf_counter() - started_s) * 1000.0)
    return times_ms


async def main() -> None:
    """Print both median latencies."""
    stand_in = EndpointStandIn("order-booking-0", 6, set(), Random(1))
    stand_in.behaviour.service_ms = 0.0
    server = await serve_stand_in(stand_in.app())
    address = str(server.address)
    with_expect_ms = statistics.median(await order_times_with_expect(address))
    without_expect_ms = statistics.median(await order_times_without_expect(address))
    print(f"p50 with expect {with_expect_ms:.2f} ms, without {without_expect_ms:.2f} ms")
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main())
