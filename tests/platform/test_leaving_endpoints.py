"""Endpoints that announce that they leave, through a whole instance over loopback."""

from collections.abc import AsyncIterator

import pytest

from platform_harness import PlatformHarness, single_route, start_platform_harness
from radishmount.standins import ReceivedRequest


REQUESTS = 20


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance that has no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


def leaving_response(request: ReceivedRequest, name: str, status: str = "200 OK") -> bytes:
    """Return a whole response of a back end that leaves."""
    return (
        f"HTTP/1.1 {status}\r\nRadishmount-Request-Id: {request.request_id}\r\n"
        f"Radishmount-Server-Stamp: {name}.{request.request_id}\r\nServer-Leaving: 1\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


class TestLeavingHeader:
    """A back end says in its responses that it leaves."""

    @pytest.mark.parametrize("status", ["200 OK", "404 Not Found", "500 Internal Server Error"])
    async def test_no_request_follows_while_the_store_is_away(
        self, harness: PlatformHarness, status: str
    ) -> None:
        """Guards against requests to it from an instance that only the store would have told."""
        leaving = await harness.add_back_end(
            "orders", "b1", answer=lambda request, name: leaving_response(request, name, status)
        )
        await harness.add_back_end("orders", "b2")
        await harness.publish(3, single_route())
        await harness.store_server.stop()
        for number in range(REQUESTS):
            await harness.send_request("/orders/7", request_id=f"q{number}")

        assert len(leaving.received) <= 1
