"""The endpoint pool: changes of the publication, subsets of instances and connection caps."""

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

FIRST_ENDPOINT = "catalogue-0-0"


def find_service(objects: list[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(o for o in objects if o["kind"] == "service" and o["name"] == name)


async def publish(harness: QueryHarness, objects: list[dict[str, Any]], version: int = 2) -> None:
    harness.objects_by_version[version] = objects
    harness.platform.publish(version)
    active_publication = harness.nodes_by_name["entry-a"].active_publication
    while active_publication.current.version < version:
        await asyncio.sleep(0.001)


class TestPublications:
    """A publication that removes, moves or limits endpoints cuts no requests."""

    async def test_a_removed_endpoint_finishes_its_exchanges(self) -> None:
        harness = await start_query_harness(replicas=2)
        for fake in harness.endpoints_by_name.values():
            fake.service_ms = 150.0
        search = asyncio.create_task(harness.search())
        await asyncio.sleep(0.01)
        objects = objects_for(harness.addresses)
        for service in ("catalogue-0", "catalogue-1"):
            find_service(objects, service)["endpoints"].pop(0)
        await publish(harness, objects)
        await search

        assert "missing none of 2 sub-requests" in harness.log.lines[-1]
        await asyncio.sleep(0.1)
        assert harness.endpoints_by_name[FIRST_ENDPOINT].connections == 0
        await harness.stop()

    async def test_an_evacuated_data_centre_gets_no_probes_until_the_end(self) -> None:
        """Guards against probes, each of which may open a connection."""
        harness = await start_query_harness(replicas=2)
        objects = objects_for(harness.addresses)
        data_centre = find_service(objects, "catalogue-0")["endpoints"][0]["data_centre"]
        evacuation = {"kind": "evacuation", "name": "drill", "data_centre": data_centre}
        await publish(harness, [*objects, evacuation])
        await asyncio.sleep(3.0)
        before = harness.endpoints_by_name[FIRST_ENDPOINT].probes
        await asyncio.sleep(5.0)
        evacuated = harness.endpoints_by_name[FIRST_ENDPOINT].probes
        await publish(harness, objects, version=3)
        await asyncio.sleep(3.0)

        assert evacuated == before < harness.endpoints_by_name[FIRST_ENDPOINT].probes
        await harness.stop()

    async def test_a_search_that_only_evacuated_endpoints_could_answer_ends_at_once(self) -> None:
        """Guards against a search that waits for probes which are never sent."""
        harness = await start_query_harness(replicas=2)
        objects = objects_for(harness.addresses)
        endpoints = find_service(objects, "catalogue-0")["endpoints"]
        evacuations = [
            {"kind": "evacuation", "name": f"drill-{data_centre}", "data_centre": data_centre}
            for data_centre in sorted({endpoint["data_centre"] for endpoint in endpoints})
        ]
        await publish(harness, [*objects, *evacuations])
        await asyncio.sleep(5.0)
        started_at_s = asyncio.get_running_loop().time()
        await harness.search()

        assert asyncio.get_running_loop().time() - started_at_s < 0.02
        await harness.stop()

    async def test_an_instance_is_overloaded_while_all_endpoints_are_evacuated(self) -> None:
        """Guards against callers that are sent to an instance that reaches no endpoint."""
        harness = await start_query_harness(replicas=2)
        node = harness.nodes_by_name["entry-a"]
        objects = objects_for(harness.addresses)
        data_centre = find_service(objects, "catalogue-0")["endpoints"][0]["data_centre"]
        before = node.load()
        evacuation = {"kind": "evacuation", "name": "drill", "data_centre": data_centre}
        await publish(harness, [*objects, evacuation])
        await asyncio.sleep(5.0)

        assert (before, node.load()) == (0.0, 1.0)
        await harness.stop()

    async def test_an_endpoint_that_moved_is_reached_at_its_new_address(self) -> None:
        harness = await start_query_harness(services=1, replicas=1)
        moved = harness.endpoints_by_address["127.0.0.0:80"]
        harness.endpoints_by_address["127.0.9.9:80"] = type(moved)("moved", harness.log)
        objects = objects_for({"catalogue-0": ["127.0.9.9:80"]})
        await publish(harness, objects)
        await asyncio.sleep(0.01)
        await harness.search()

        assert any("moved ->" in line for line in harness.log.lines)
        assert moved.connections == 0
        await harness.stop()

    async def test_a_lower_cap_closes_idle_connections(self) -> None:
        harness = await start_query_harness(services=1, replicas=1)
        fake = harness.endpoints_by_name[FIRST_ENDPOINT]
        await asyncio.gather(*(harness.search(request_id=f"r{n}") for n in range(8)))
        assert fake.connections > 1
        objects = objects_for(harness.addresses)
        find_service(objects, "catalogue-0")["connections"] = 2
        await publish(harness, objects)
        await asyncio.sleep(0.01)

        assert fake.connections == 1
        await harness.stop()

    async def test_an_endpoint_published_again_at_once_keeps_its_connections(self) -> None:
        harness = await start_query_harness(replicas=2)
        without = objects_for(harness.addresses)
        find_service(without, "catalogue-0")["endpoints"].pop(0)
        await publish(harness, without, version=2)
        await publish(harness, objects_for(harness.addresses), version=3)
        await asyncio.sleep(0.1)

        assert harness.endpoints_by_name[FIRST_ENDPOINT].max_connections == 1
        await harness.stop()

    async def test_many_instances_together_stay_within_the_connection_cap(self) -> None:
        names = tuple(f"entry-{n}" for n in range(9))
        harness = await start_query_harness(services=1, replicas=2, nodes=names)
        searches = [
            harness.search(node=name, request_id=f"{name}-{n}") for name in names for n in range(20)
        ]
        await asyncio.gather(*searches)

        assert all(fake.max_connections <= 25 for fake in harness.endpoints_by_name.values())
        await harness.stop()


class TestInstanceSubsets:
    """Which instances may connect to an endpoint, and their shares of its connection cap."""

    @pytest.mark.parametrize("cap", [1, 2, 3, 25, 40, 110])
    @pytest.mark.parametrize("instances", [1, 2, 6, 9, 50])
    def test_shares_leave_room_for_one_more_instance(self, cap: int, instances: int) -> None:
        subsets = InstanceSubsets()
        subsets.set_instances(f"entry-{n}" for n in range(instances))
        subset = subsets.subset_for("e", cap)
        share = connection_share(len(subset), cap)

        assert len(subset) * share <= cap
        if cap > 3:
            assert (len(subset) + 1) * share <= cap

    @given(st.lists(st.frozensets(st.sampled_from("abcdefghijklmnop"), min_size=1), min_size=1))
    @settings(derandomize=True, deadline=None)
    def test_subsets_updated_by_changes_equal_those_computed_anew(
        self, lists: list[frozenset[str]]
    ) -> None:
        updated = InstanceSubsets()
        for names in lists:
            updated.set_instances(names)
            fresh = InstanceSubsets()
            fresh.set_instances(names)
            for endpoint in ("e-1", "e-2", "e-3"):
                assert updated.subset_for(endpoint, 9) == fresh.subset_for(endpoint, 9)

    def test_endpoints_that_are_no_longer_published_are_dropped(self) -> None:
        subsets = InstanceSubsets()
        subsets.set_instances(["a", "b"])
        subsets.subset_for("e-1", 9)
        subsets.retain_endpoints(["e-2"])

        assert not subsets.ranked_by_endpoint_and_cap


class TestManyInstances:
    """More instances than an endpoint accepts connections."""

    NAMES = [f"entry-{n:02}" for n in range(69)]
    CAP = 66

    def subset_for(self, endpoint: str) -> list[str]:
        """Return the instances that may connect to an endpoint, with one connection each."""
        subsets = InstanceSubsets(connections_per_instance=1)
        subsets.set_instances(self.NAMES)
        return subsets.subset_for(endpoint, self.CAP)

    def test_the_shares_of_a_subset_stay_within_the_cap(self) -> None:
        subset = self.subset_for("e")

        assert len(subset) * connection_share(len(subset), self.CAP) <= self.CAP

    def test_every_instance_may_connect_to_most_replicas_of_a_shard(self) -> None:
        replicas_by_instance = Counter(
            name for n in range(3) for name in self.subset_for(f"shard-1-{n}")
        )

        assert min(replicas_by_instance[name] for name in self.NAMES) >= 1
        assert sum(replicas_by_instance.values()) >= 2.8 * len(self.NAMES)

    def test_an_endpoint_that_this_instance_may_not_connect_to_is_not_chosen(self) -> None:
        allowed = Endpoint(EndpointSpec("a", "milano", "127.0.0.1:80"), slots=2)
        other = Endpoint(EndpointSpec("b", "milano", "127.0.0.1:80"), slots=2)
        for endpoint in (allowed, other):
            endpoint.is_tracked_by_discovery = True
        other.may_connect = False
        choose = make_weighted_choice("milano", Random(1))

        assert {choose([allowed, other], (), 0.0) for _ in range(50)} == {allowed}
