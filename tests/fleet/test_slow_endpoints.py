"""Tests of the gossip of slow endpoints, on virtual time."""

import asyncio

import pytest

from fleet_harness import make_fleet_harness
from radishmount.fleet import SlowEndpointGossip, SlowEndpointHint


pytestmark = pytest.mark.looptime

CENTRES = ("milano", "torino")


class GossipAtEachInstance:
    """A gossip at every instance of a harness; `slow_by_name` has what each observes itself."""

    def __init__(  # type: ignore[no-untyped-def]
        self, harness, preferred=None, max_direct_recipients=17
    ) -> None:
        self.preferred = list(harness.control_planes_by_name) if preferred is None else preferred
        self.slow_by_name: dict[str, dict[str, float]] = {}
        self.received_by_name: dict[str, list[dict[str, float]]] = {}
        self.counters_by_name = harness.counters_by_name
        self.clock = harness.clock
        self.seen_at_ms_by_endpoint: dict[str, float] = {}
        self.tasks = []
        for name, control_plane in harness.control_planes_by_name.items():
            self.slow_by_name[name] = {}
            self.received_by_name[name] = []
            gossip = SlowEndpointGossip(
                control_plane.peers,
                harness.clock,
                harness.counters_by_name[name],
                find_slow=lambda name=name: self._hints_at(name),
                on_hints=self.received_by_name[name].append,
                preferred_names=lambda: self.preferred,
                max_direct_recipients=max_direct_recipients,
            )
            gossip.start()
            self.tasks.append(asyncio.create_task(gossip.run()))

    def _hints_at(self, name: str) -> list[SlowEndpointHint]:
        """Return what an instance observes, by default at the present time."""
        now_ms = self.clock.now_ms()
        return [
            SlowEndpointHint(
                endpoint, latency_ms, self.seen_at_ms_by_endpoint.get(endpoint, now_ms)
            )
            for endpoint, latency_ms in self.slow_by_name[name].items()
        ]

    def sent_frames(self) -> float:
        """Return how many frames all instances have sent."""
        return sum(c.value("pace_news", "out") for c in self.counters_by_name.values())

    def stop(self) -> None:
        """Cancel the tasks."""
        for task in self.tasks:
            task.cancel()


class TestSlowEndpointGossip:
    """What one instance observes is announced to all preferred instances."""

    async def test_all_others_receive_it_within_200_ms(self) -> None:
        harness = make_fleet_harness()
        names = [f"e{n}" for n in range(6)]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(0.2)

        assert all(gossips.received_by_name[name] == [{"slow-1": 180.0}] for name in names[1:])
        gossips.stop()
        await harness.stop()

    async def test_more_endpoints_than_fit_into_a_frame_are_all_announced(self) -> None:
        """A slow data centre of a large fleet makes hundreds of endpoints slow at once."""
        harness = make_fleet_harness()
        names = [f"e{n}" for n in range(3)]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.slow_by_name["e0"] = {f"slow-{n}": 180.0 for n in range(450)}
        await asyncio.sleep(0.2)

        for name in names[1:]:
            received = [endpoint for hints in gossips.received_by_name[name] for endpoint in hints]
            assert len(received) == len(set(received)) == 450
        gossips.stop()
        await harness.stop()

    async def test_an_endpoint_that_stays_slow_is_announced_once_to_a_large_fleet(self) -> None:
        harness = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.slow_by_name["e00"] = {"slow-1": 180.0}
        await asyncio.sleep(0.8)

        assert all(len(gossips.received_by_name[name]) == 1 for name in names[1:])
        assert gossips.sent_frames() <= 30 * 8 + 8
        gossips.stop()
        await harness.stop()

    async def test_few_preferred_instances_of_a_large_fleet_are_sent_to_directly(self) -> None:
        harness = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await harness.start_all(names, CENTRES)
        preferred = ["e00", "e07", "e15", "e22"]
        gossips = GossipAtEachInstance(harness, preferred)

        gossips.slow_by_name["e00"] = {"slow-1": 180.0}
        await asyncio.sleep(0.3)

        receivers = [name for name in names if gossips.received_by_name[name]]
        assert receivers == preferred[1:]
        assert gossips.sent_frames() == 3
        gossips.stop()
        await harness.stop()

    async def test_a_large_fleet_is_not_notified_of_a_usual_pause(self) -> None:
        harness = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.seen_at_ms_by_endpoint["paused-1"] = harness.clock.now_ms()
        for name in names:
            gossips.slow_by_name[name] = {"paused-1": 120.0}
        await asyncio.sleep(3.0)

        assert all(gossips.received_by_name[name] == [] for name in names)
        assert gossips.sent_frames() <= 30 * 8
        gossips.stop()
        await harness.stop()

    async def test_observations_of_two_neighbours_confirm_each_other(self) -> None:
        harness = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)
        first, neighbours = (
            "e00",
            harness.control_planes_by_name["e00"].membership.tasks_by_neighbour,
        )
        neighbour = sorted(neighbours)[0]

        gossips.seen_at_ms_by_endpoint["slow-1"] = harness.clock.now_ms()
        gossips.slow_by_name[first] = {"slow-1": 180.0}
        await asyncio.sleep(0.5)
        gossips.seen_at_ms_by_endpoint["slow-1"] = harness.clock.now_ms()
        gossips.slow_by_name[first] = {}
        gossips.slow_by_name[neighbour] = {"slow-1": 170.0}
        await asyncio.sleep(0.5)

        unaware = [name for name in names if not gossips.received_by_name[name]]
        assert unaware in ([neighbour], [first])
        gossips.stop()
        await harness.stop()

    async def test_an_endpoint_that_stays_slow_is_announced_again_but_rarely(self) -> None:
        harness = make_fleet_harness()
        names = ["e0", "e1"]
        await harness.start_all(names, CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(10.0)

        assert 4 <= len(gossips.received_by_name["e1"]) <= 6
        gossips.stop()
        await harness.stop()

    async def test_what_a_peer_has_announced_is_not_announced_again_at_once(self) -> None:
        harness = make_fleet_harness()
        await harness.start_all(["e0", "e1"], CENTRES)
        gossips = GossipAtEachInstance(harness)

        gossips.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(0.15)
        gossips.slow_by_name["e1"] = {"slow-1": 170.0}
        await asyncio.sleep(0.5)

        assert gossips.received_by_name["e0"] == []
        gossips.stop()
        await harness.stop()
