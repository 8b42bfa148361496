"""The pool follows publications without cutting requests or passing a cap."""

import asyncio
from collections import Counter
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes import QueryHarness, start_query_harness
from radishmount.endpoints import (
    Endpoint,
    InstanceSubsets,
    connection_share,
    make_weighted_choice,
)
from radishmount.publication import EndpointSpec
from support import objects_for


pytestmark = pytest.mark.looptime

ONE = "catalogue-0-0"


def service_of(objects: list[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(o for o in objects if o["kind"] == "service" and o["name"] == name)


async def publish(world: QueryHarness, objects: list[dict[str, Any]], version: int = 2) -> None:
    world.objects_by_version[version] = objects
    world.platform.publish(version)
    in_force = world.nodes_by_name["entry-a"].active_publication
    while in_force.current.version < version:
        await asyncio.sleep(0.001)


class TestPublications:
    """Endpoints that are taken out, moved or resized."""

    async def test_an_endpoint_taken_out_finishes_what_it_was_sent(self) -> None:
        world = await start_query_harness(replicas=2)
        for fake in world.endpoints_by_name.values():
            fake.service_ms = 150.0
        search = asyncio.create_task(world.search())
        await asyncio.sleep(0.01)
        objects = objects_for(world.addresses)
        for service in ("catalogue-0", "catalogue-1"):
            service_of(objects, service)["endpoints"].pop(0)
        await publish(world, objects)
        await search

        assert "missing none of 2 sub-requests" in world.log.lines[-1]
        await asyncio.sleep(0.1)
        assert world.endpoints_by_name[ONE].connections == 0
        await world.stop()

    async def test_an_endpoint_that_moved_is_sent_to_its_new_address(self) -> None:
        world = await start_query_harness(services=1, replicas=1)
        moved = world.endpoints_by_address["127.0.0.0:80"]
        world.endpoints_by_address["127.0.9.9:80"] = type(moved)("moved", world.log)
        objects = objects_for({"catalogue-0": ["127.0.9.9:80"]})
        await publish(world, objects)
        await asyncio.sleep(0.01)
        await world.search()

        assert any("moved ->" in line for line in world.log.lines)
        assert moved.connections == 0
        await world.stop()

    async def test_a_lower_cap_closes_idle_connections(self) -> None:
        world = await start_query_harness(services=1, replicas=1)
        fake = world.endpoints_by_name[ONE]
        await asyncio.gather(*(world.search(request_id=f"r{n}") for n in range(8)))
        assert fake.connections > 1
        objects = objects_for(world.addresses)
        service_of(objects, "catalogue-0")["connections"] = 2
        await publish(world, objects)
        await asyncio.sleep(0.01)

        assert fake.connections == 1
        await world.stop()

    async def test_an_endpoint_put_back_at_once_keeps_its_connections(self) -> None:
        world = await start_query_harness(replicas=2)
        without = objects_for(world.addresses)
        service_of(without, "catalogue-0")["endpoints"].pop(0)
        await publish(world, without, version=2)
        await publish(world, objects_for(world.addresses), version=3)
        await asyncio.sleep(0.1)

        assert world.endpoints_by_name[ONE].most_connections == 1
        await world.stop()

    async def test_endpoints_keep_to_the_cap_with_many_instances(self) -> None:
        names = tuple(f"entry-{n}" for n in range(9))
        world = await start_query_harness(services=1, replicas=2, nodes=names)
        searches = [
            world.search(node=name, request_id=f"{name}-{n}") for name in names for n in range(20)
        ]
        await asyncio.gather(*searches)

        assert all(fake.most_connections <= 25 for fake in world.endpoints_by_name.values())
        await world.stop()


class TestHolders:
    """The shares of an endpoint's connection cap."""

    @pytest.mark.parametrize("cap", [1, 2, 3, 25, 40, 110])
    @pytest.mark.parametrize("instances", [1, 2, 6, 9, 50])
    def test_shares_leave_room_for_one_more_instance(self, cap: int, instances: int) -> None:
        book = InstanceSubsets()
        book.set_instances(f"entry-{n}" for n in range(instances))
        holders = book.subset_for("e", cap)
        share = connection_share(len(holders), cap)

        assert len(holders) * share <= cap
        if cap > 3:
            assert (len(holders) + 1) * share <= cap

    @given(st.lists(st.frozensets(st.sampled_from("abcdefghijklmnop"), min_size=1), min_size=1))
    @settings(derandomize=True, deadline=None)
    def test_a_book_that_follows_changes_agrees_with_a_new_one(
        self, lists: list[frozenset[str]]
    ) -> None:
        followed = InstanceSubsets()
        for names in lists:
            followed.set_instances(names)
            new = InstanceSubsets()
            new.set_instances(names)
            for endpoint in ("e-1", "e-2", "e-3"):
                assert followed.subset_for(endpoint, 9) == new.subset_for(endpoint, 9)

    def test_forgets_endpoints_that_are_gone(self) -> None:
        book = InstanceSubsets()
        book.set_instances(["a", "b"])
        book.subset_for("e-1", 9)
        book.retain_endpoints(["e-2"])

        assert not book.ranked_by_endpoint


class TestManyInstances:
    """More instances than an endpoint takes connections."""

    NAMES = [f"entry-{n:02}" for n in range(69)]
    CAP = 66

    def holders(self, endpoint: str) -> list[str]:
        """Return the holders of an endpoint, with one connection each."""
        book = InstanceSubsets(connections_per_instance=1)
        book.set_instances(self.NAMES)
        return book.subset_for(endpoint, self.CAP)

    def test_all_together_stay_within_the_cap(self) -> None:
        holders = self.holders("e")

        assert len(holders) * connection_share(len(holders), self.CAP) <= self.CAP

    def test_every_instance_reaches_most_replicas_of_a_shard_itself(self) -> None:
        held = Counter(name for n in range(3) for name in self.holders(f"shard-1-{n}"))

        assert min(held[name] for name in self.NAMES) >= 1
        assert sum(held.values()) >= 2.8 * len(self.NAMES)

    def test_an_endpoint_that_is_not_held_is_not_chosen(self) -> None:
        held = Endpoint(EndpointSpec("a", "milano", "127.0.0.1:80"), slots=2)
        other = Endpoint(EndpointSpec("b", "milano", "127.0.0.1:80"), slots=2)
        for endpoint in (held, other):
            endpoint.is_tracked_by_discovery = True
        other.may_connect = False
        choose = make_weighted_choice("milano", Random(1))

        assert {choose([held, other], (), 0.0) for _ in range(50)} == {held}
