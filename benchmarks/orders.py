"""What `Expect: 100-continue` costs an order, over loopback: `python benchmarks/orders.py`."""

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


async def with_expect(address: str) -> list[float]:
    """Return the times of orders whose body waits to be asked for, in milliseconds."""
    clock = loop_clock(asyncio.get_running_loop())
    channel = open_endpoint_channel(address)
    times_ms = []
    for number in range(ORDERS):
        gate = SendGate(clock, clock.now_ms() + DEADLINE_MS)
        request = OrderRequest(f"r{number}", 1, "caller", {"number": number}, gate)
        started = time.perf_counter()
        (await channel.place(request, DEADLINE_MS)).unwrap()
        times_ms.append((time.perf_counter() - started) * 1000.0)
    await channel.close()
    return times_ms


async def without_expect(address: str) -> list[float]:
    """Return the times of orders whose body is sent at once, in milliseconds."""
    times_ms = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as session:
        for number in range(ORDERS):
            order = {"number": number}
            body = {"request_id": f"r{number}", "attempt": 1, "caller": "caller", "order": order}
            content = orjson.dumps({**body, "deadline_ms": DEADLINE_MS})
            started = time.perf_counter()
            async with session.post(f"http://{address}/v1/orders", data=content) as response:
                await response.read()
            times_ms.append((time.perf_counter() - started) * 1000.0)
    return times_ms


async def main() -> None:
    """Print both medians."""
    stand_in = EndpointStandIn("order-booking-0", 6, set(), Random(1))
    stand_in.behaviour.service_ms = 0.0
    server = await serve_stand_in(stand_in.app())
    address = str(server.address)
    expecting_ms = statistics.median(await with_expect(address))
    direct_ms = statistics.median(await without_expect(address))
    print(f"p50 with expect {expecting_ms:.2f} ms, without {direct_ms:.2f} ms")
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main())
