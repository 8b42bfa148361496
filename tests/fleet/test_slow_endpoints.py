"""Tests of the spread of slow endpoints, on virtual time."""

import asyncio

import pytest

from fleet_harness import make_fleet_harness
from radishmount.fleet import SlowEndpointGossip, SlowEndpointHint


pytestmark = pytest.mark.looptime

CENTRES = ("milano", "torino")


class Spreads:
    """A spread at every instance of a world; `slow_by_name` is what each finds itself."""

    def __init__(self, world, carriers=None) -> None:  # type: ignore[no-untyped-def]
        self.carriers = list(world.controls_by_name) if carriers is None else carriers
        self.slow_by_name: dict[str, dict[str, float]] = {}
        self.heard_by_name: dict[str, list[dict[str, float]]] = {}
        self.counters_by_name = world.counters_by_name
        self.clock = world.clock
        self.seen_at_ms_by_endpoint: dict[str, float] = {}
        self.tasks = []
        for name, control in world.controls_by_name.items():
            self.slow_by_name[name] = {}
            self.heard_by_name[name] = []
            spread = SlowEndpointGossip(
                control.peers,
                world.clock,
                world.counters_by_name[name],
                find_slow=lambda name=name: self._hints_of(name),
                on_hints=self.heard_by_name[name].append,
                preferred_names=lambda: self.carriers,
            )
            spread.start()
            self.tasks.append(asyncio.create_task(spread.run()))

    def _hints_of(self, name: str) -> list[SlowEndpointHint]:
        """Return what an instance finds, seen just now unless it says when."""
        now_ms = self.clock.now_ms()
        return [
            SlowEndpointHint(endpoint, pace_ms, self.seen_at_ms_by_endpoint.get(endpoint, now_ms))
            for endpoint, pace_ms in self.slow_by_name[name].items()
        ]

    def sent(self) -> float:
        """Return how many frames were sent in all."""
        return sum(c.value("pace_news", "out") for c in self.counters_by_name.values())

    def stop(self) -> None:
        """End the tasks."""
        for task in self.tasks:
            task.cancel()


class TestSlowEndpointGossip:
    """What one instance finds out, all know."""

    async def test_all_others_hear_it_within_a_fifth_of_a_second(self) -> None:
        world = make_fleet_harness()
        names = [f"e{n}" for n in range(6)]
        await world.start_all(names, CENTRES)
        spreads = Spreads(world)

        spreads.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(0.2)

        assert all(spreads.heard_by_name[name] == [{"slow-1": 180.0}] for name in names[1:])
        spreads.stop()
        await world.stop()

    async def test_a_fleet_on_rings_hears_once_each_of_what_goes_on(self) -> None:
        world = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await world.start_all(names, CENTRES)
        spreads = Spreads(world)

        spreads.slow_by_name["e00"] = {"slow-1": 180.0}
        await asyncio.sleep(0.8)

        assert all(len(spreads.heard_by_name[name]) == 1 for name in names[1:])
        assert spreads.sent() <= 30 * 8 + 8
        spreads.stop()
        await world.stop()

    async def test_few_carriers_of_a_large_fleet_are_told_directly(self) -> None:
        world = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await world.start_all(names, CENTRES)
        carriers = ["e00", "e07", "e15", "e22"]
        spreads = Spreads(world, carriers)

        spreads.slow_by_name["e00"] = {"slow-1": 180.0}
        await asyncio.sleep(0.3)

        heard = [name for name in names if spreads.heard_by_name[name]]
        assert heard == carriers[1:]
        assert spreads.sent() == 3
        spreads.stop()
        await world.stop()

    async def test_a_fleet_on_rings_is_not_told_of_a_usual_pause(self) -> None:
        world = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await world.start_all(names, CENTRES)
        spreads = Spreads(world)

        spreads.seen_at_ms_by_endpoint["paused-1"] = world.clock.now_ms()
        for name in names:
            spreads.slow_by_name[name] = {"paused-1": 120.0}
        await asyncio.sleep(3.0)

        assert all(spreads.heard_by_name[name] == [] for name in names)
        assert spreads.sent() <= 30 * 8
        spreads.stop()
        await world.stop()

    async def test_neighbours_that_see_it_one_after_the_other_confirm_it(self) -> None:
        world = make_fleet_harness()
        names = [f"e{n:02}" for n in range(30)]
        await world.start_all(names, CENTRES)
        spreads = Spreads(world)
        first, second = "e00", world.controls_by_name["e00"].membership.tasks_by_neighbour
        neighbour = sorted(second)[0]

        spreads.seen_at_ms_by_endpoint["slow-1"] = world.clock.now_ms()
        spreads.slow_by_name[first] = {"slow-1": 180.0}
        await asyncio.sleep(0.5)
        spreads.seen_at_ms_by_endpoint["slow-1"] = world.clock.now_ms()
        spreads.slow_by_name[first] = {}
        spreads.slow_by_name[neighbour] = {"slow-1": 170.0}
        await asyncio.sleep(0.5)

        unaware = [name for name in names if not spreads.heard_by_name[name]]
        assert unaware in ([neighbour], [first])
        spreads.stop()
        await world.stop()

    async def test_one_that_stays_slow_is_told_again_but_rarely(self) -> None:
        world = make_fleet_harness()
        names = ["e0", "e1"]
        await world.start_all(names, CENTRES)
        spreads = Spreads(world)

        spreads.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(10.0)

        assert 4 <= len(spreads.heard_by_name["e1"]) <= 6
        spreads.stop()
        await world.stop()

    async def test_what_a_peer_has_told_is_not_told_again_at_once(self) -> None:
        world = make_fleet_harness()
        await world.start_all(["e0", "e1"], CENTRES)
        spreads = Spreads(world)

        spreads.slow_by_name["e0"] = {"slow-1": 180.0}
        await asyncio.sleep(0.15)
        spreads.slow_by_name["e1"] = {"slow-1": 170.0}
        await asyncio.sleep(0.5)

        assert spreads.heard_by_name["e0"] == []
        spreads.stop()
        await world.stop()
