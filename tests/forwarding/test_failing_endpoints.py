"""An endpoint that fails at once gets no larger share of the requests than a sound one."""

import asyncio

import pytest

from forward_harness import FakeForwardEndpoint, forward_harness
from radishmount.endpoints import ForwardReply


pytestmark = pytest.mark.looptime

ALWAYS = 1_000_000
REPLICAS = "abcdef"
ROUNDS = 400
PER_ROUND = 3
SOUND_MS = 20.0
AT_ONCE_MS = 0.5


def refuse_connections(endpoint: FakeForwardEndpoint) -> None:
    """Have the endpoint accept no connection."""
    endpoint.unreachable = True


def reset_before_a_head(endpoint: FakeForwardEndpoint) -> None:
    """Have the endpoint end the connection of each request at once."""
    endpoint.requests_to_lose = ALWAYS


def shed(endpoint: FakeForwardEndpoint) -> None:
    """Have the endpoint answer 503 at once, without running the request."""
    endpoint.requests_to_shed = ALWAYS


def fail(endpoint: FakeForwardEndpoint) -> None:
    """Have the endpoint answer 500 at once."""
    endpoint.requests_to_fail = ALWAYS


class TestFastFailures:
    """One of six endpoints fails all requests within a millisecond."""

    @pytest.mark.parametrize("fault", [refuse_connections, reset_before_a_head, shed, fail])
    async def test_the_other_endpoints_serve_the_requests(self, fault: object) -> None:
        """Guards against an endpoint that looks fast because it fails at once.

        The requests must not run twice, so none is saved by a retry after it may have run.
        """
        async with forward_harness(services=1, replicas=REPLICAS) as harness:
            for endpoint in harness.endpoints_of("s0"):
                endpoint.service_ms = SOUND_MS
            failing = harness.endpoints_by_name["s0-a"]
            failing.service_ms = AT_ONCE_MS
            fault(failing)  # type: ignore[operator]
            route = harness.single_route(idempotent=False)
            served = 0
            for _ in range(ROUNDS):
                outcomes = await asyncio.gather(*(harness.send(route) for _ in range(PER_ROUND)))
                replies = [outcome.ok_value for outcome in outcomes if outcome.is_ok()]
                served += sum(isinstance(r, ForwardReply) and r.is_success for r in replies)
                await asyncio.sleep(0.02)
            total = ROUNDS * PER_ROUND

            assert len(failing.received_ids) <= total / len(REPLICAS)
            assert served >= total * (1.0 - 1.0 / len(REPLICAS))
