"""Tests of where the callers of a host are served, by the data centres of its replicas."""

from dataclasses import replace

from radishmount.audit import AuditTrail
from radishmount.clock import Clock
from radishmount.fleet import (
    Fleet,
    Instance,
    InstanceList,
    MemberState,
    MemberTable,
    MemberUpdate,
    choose_beside_replicas,
    preferred_names,
)
from radishmount.publication import EndpointSpec, Publication, ReplicaPlacement, Service
from radishmount.routes import Route, RouteTable, WeightedService


HOST = "shop.example"
SHARDS = tuple(f"s{n}" for n in range(12))
DATA_CENTRES = ("bergamo", "milano", "torino")


def publish(data_centres_by_shard: dict[str, tuple[str, ...]], version: int = 1) -> Publication:
    """Return routes to all shards, with an endpoint of each shard in its data centres."""
    services = {
        name: Service(
            name, 4, 40, tuple(EndpointSpec(f"{name}-{dc}", dc, "127.0.0.1:1") for dc in centres)
        )
        for name, centres in data_centres_by_shard.items()
    }
    search = Route("search", HOST, "/search/", shards=tuple(data_centres_by_shard))
    single = Route("single", "maps.example", "/", services=(WeightedService("s0"),))
    return Publication(
        version, "d", services_by_name=services, routes=RouteTable.of([search, single])
    )


def placement_of(publication: Publication) -> ReplicaPlacement:
    """Return a placement that knows one publication."""
    placement = ReplicaPlacement(AuditTrail(Clock(lambda: 0.0, lambda: 0.0)))
    placement.apply(publication)
    return placement


ALL_IN_THREE = publish(dict.fromkeys(SHARDS, DATA_CENTRES))


class TestReplicaPlacement:
    """Pattern: a data centre has callers, and no replica of any shard that they search."""

    def test_callers_without_replicas_are_sent_to_those_who_have_them(self) -> None:
        placement = placement_of(ALL_IN_THREE)

        assert placement.data_centres_for(HOST, "verona") == set(DATA_CENTRES)
        assert placement.count_sent_away("verona") == 1
        assert placement.count_sent_away("milano") == 0
        assert placement.audit.lines[0].change == "served in bergamo, milano, torino"

    def test_callers_beside_the_replicas_and_of_single_services_stay(self) -> None:
        placement = placement_of(ALL_IN_THREE)

        assert not placement.data_centres_for(HOST, "milano")
        assert not placement.data_centres_for("maps.example", "verona")
        assert not placement.data_centres_for("unknown.example", "verona")

    def test_replicas_of_three_quarters_of_the_shards_everywhere_send_nobody_away(self) -> None:
        centres = (*DATA_CENTRES, "verona")
        rotated = {
            name: tuple(dc for k, dc in enumerate(centres) if k != n % 4)
            for n, name in enumerate(SHARDS)
        }
        placement = placement_of(publish(rotated))

        assert [placement.data_centres_for(HOST, dc) for dc in centres] == [frozenset()] * 4

    def test_shards_that_have_not_started_do_not_count(self) -> None:
        """A route may name the next set of shards before its endpoints start."""
        later = dict.fromkeys((f"later-{n}" for n in range(18)), ())
        placement = placement_of(publish(dict.fromkeys(SHARDS, DATA_CENTRES) | later))

        assert placement.data_centres_for(HOST, "verona") == set(DATA_CENTRES)

    def test_callers_stay_as_long_as_no_endpoint_is_known(self) -> None:
        placement = placement_of(publish(dict.fromkeys(SHARDS, ())))

        assert not placement.data_centres_for(HOST, "verona")

    def test_restarts_of_one_endpoint_after_another_move_nobody(self) -> None:
        """An answer that changes with each restart would move callers to and fro."""
        placement = placement_of(ALL_IN_THREE)
        placement.data_centres_for(HOST, "verona")
        for version, restarting in enumerate(SHARDS, start=2):
            centres = dict.fromkeys(SHARDS, DATA_CENTRES) | {restarting: ("bergamo", "torino")}
            placement.apply(publish(centres, version))

            assert not placement.data_centres_for(HOST, "milano")
            assert placement.data_centres_for(HOST, "verona") == set(DATA_CENTRES)
        assert len(placement.audit.lines) == 1

    def test_a_data_centre_changes_its_state_only_far_from_where_it_changed_last(self) -> None:
        placement = placement_of(ALL_IN_THREE)
        seen = []
        for held in (4, 3, 2, 3, 5, 6):
            centres = {
                name: DATA_CENTRES if n < held else ("bergamo", "torino")
                for n, name in enumerate(SHARDS)
            }
            placement.data_centres_for(HOST, "milano")
            placement.apply(publish(centres))
            seen.append(bool(placement.data_centres_for(HOST, "milano")))

        assert seen == [False, False, True, True, True, False]

    def test_a_lost_or_evacuated_data_centre_gives_its_callers_to_the_others(self) -> None:
        placement = placement_of(ALL_IN_THREE)
        placement.apply(ALL_IN_THREE, evacuated=["milano"])
        evacuated = placement.data_centres_for(HOST, "milano")
        placement.apply(publish(dict.fromkeys(SHARDS, ("bergamo", "torino"))))
        lost = placement.data_centres_for(HOST, "milano")
        placement.apply(ALL_IN_THREE)

        assert evacuated == lost == {"bergamo", "torino"}
        assert not placement.data_centres_for(HOST, "milano")

    def test_a_new_set_of_shards_is_followed_at_once(self) -> None:
        placement = placement_of(ALL_IN_THREE)
        placement.data_centres_for(HOST, "verona")
        shards = tuple(f"t{n}" for n in range(18))
        placement.apply(publish(dict.fromkeys(shards, ("verona",)), version=2))

        assert not placement.data_centres_for(HOST, "verona")
        assert placement.data_centres_for(HOST, "milano") == {"verona"}

    def test_routes_that_no_longer_fan_out_send_nobody_away(self) -> None:
        placement = placement_of(ALL_IN_THREE)
        placement.apply(replace(ALL_IN_THREE, version=2, routes=RouteTable.of([])))

        assert not placement.data_centres_for(HOST, "verona")


class TestChooseBesideReplicas:
    """A random pick among the addresses spreads callers over the data centres with replicas."""

    def make_fleet(self, count: int) -> Fleet:
        """Return a fleet with `count` instances in each of four data centres."""
        members = MemberTable(MemberUpdate("verona-0", 1, 0, MemberState.LIVE), "verona")
        fleet = Fleet("verona-0", "verona", members)
        fleet.apply_list(
            InstanceList(
                1,
                tuple(
                    Instance(f"{dc}-{n}", dc, f"{dc}-{n}:1", f"{dc}-{n}:2")
                    for dc in (*DATA_CENTRES, "verona")
                    for n in range(count)
                ),
            )
        )
        return fleet

    def test_more_instances_than_addresses_are_divided_evenly(self) -> None:
        fleet = self.make_fleet(40)
        chosen = choose_beside_replicas(fleet, frozenset(DATA_CENTRES), "verona", 60)

        assert [sum(i.data_centre == dc for i in chosen) for dc in DATA_CENTRES] == [20, 20, 20]
        assert {instance.name for instance in chosen} <= preferred_names(fleet)

    def test_a_lost_data_centre_is_left_out(self) -> None:
        """Failure: all instances beside a third of the replicas are lost at once."""
        fleet = self.make_fleet(4)
        for n in range(4):
            fleet.members.apply(MemberUpdate(f"milano-{n}", 1, 1, MemberState.SUSPECTED), "lost")
        chosen = choose_beside_replicas(fleet, frozenset(DATA_CENTRES), "verona", 64)

        assert {i.data_centre for i in chosen} == {"bergamo", "torino"}

    def test_callers_find_an_address_if_nobody_beside_the_replicas_is_left(self) -> None:
        fleet = self.make_fleet(2)
        for dc in DATA_CENTRES:
            for n in range(2):
                fleet.members.apply(MemberUpdate(f"{dc}-{n}", 1, 1, MemberState.LEAVING), "stops")
        chosen = choose_beside_replicas(fleet, frozenset(DATA_CENTRES), "verona", 64)

        assert {i.name for i in chosen} == {"verona-0", "verona-1"}
