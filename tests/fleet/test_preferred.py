"""Tests of the preferred instances and of shares, also on machines of unequal size."""

from radishmount.fleet import (
    Fleet,
    FleetShares,
    Instance,
    InstanceList,
    MemberState,
    MemberTable,
    MemberUpdate,
    choose_preferred,
    fleet_shares,
    preferred_names,
)


def make_fleet(*instances: tuple[str, str, float]) -> Fleet:
    """Return a fleet as its first instance sees it, of names, data centres and capacities."""
    own, data_centre, _ = instances[0]
    fleet = Fleet(
        own, data_centre, MemberTable(MemberUpdate(own, 1, 0, MemberState.LIVE), data_centre)
    )
    listed = tuple(
        Instance(name, centre, f"{name}:1", f"{name}:2", capacity=capacity)
        for name, centre, capacity in instances
    )
    fleet.apply_list(InstanceList(1, listed))
    return fleet


def preferred_for(fleet: Fleet, data_centre: str) -> set[str]:
    """Return the names of the instances that a caller in `data_centre` is given."""
    return {instance.name for instance in choose_preferred(fleet, data_centre, 64)}


UNEQUAL = (
    ("big-1", "milano", 2.15),
    ("big-2", "milano", 2.15),
    *((f"small-{n}", "milano", 0.516) for n in range(9)),
    ("far", "torino", 2.15),
)


class TestChoosePreferred:
    """The fast instances of the caller's data centre, at least two in all."""

    def test_all_are_preferred_where_capacities_are_equal(self) -> None:
        fleet = make_fleet(("a", "milano", 1.0), ("b", "milano", 1.0), ("c", "milano", 1.0))

        assert preferred_for(fleet, "milano") == {"a", "b", "c"}

    def test_the_fast_ones_are_preferred_where_capacities_differ(self) -> None:
        assert preferred_for(make_fleet(*UNEQUAL), "milano") == {"big-1", "big-2"}

    def test_a_lost_fast_instance_is_replaced_by_one_of_its_data_centre(self) -> None:
        fleet = make_fleet(*UNEQUAL)
        fleet.members.apply(MemberUpdate("big-2", 1, 1, MemberState.SUSPECTED), "no answer")

        chosen = preferred_for(fleet, "milano")
        assert "big-1" in chosen
        assert len(chosen) == 2
        assert "far" not in chosen

    def test_all_others_are_preferred_when_the_fast_ones_are_lost_or_overloaded(self) -> None:
        fleet = make_fleet(*UNEQUAL)
        for name in ("big-2", "far"):
            fleet.members.apply(MemberUpdate(name, 1, 1, MemberState.LEAVING), "stops")
        fleet.members.update_own_load(2.0)

        assert preferred_for(fleet, "milano") == {f"small-{n}" for n in range(9)}

    def test_a_data_centre_with_one_instance_gets_another_of_a_different_one(self) -> None:
        assert preferred_for(make_fleet(*UNEQUAL), "torino") == {"far", "big-1"} or preferred_for(
            make_fleet(*UNEQUAL), "torino"
        ) == {"far", "big-2"}


class TestShares:
    """Half of a total is divided over all instances, the other half over the preferred ones."""

    def test_preferred_names_cover_the_callers_of_every_data_centre(self) -> None:
        assert preferred_names(make_fleet(*UNEQUAL)) == {"big-1", "big-2", "far"}

    def test_all_shares_add_up_to_the_total(self) -> None:
        fleet = make_fleet(*UNEQUAL)
        shares = fleet_shares(fleet, preferred_names(fleet))
        other = FleetShares(shares.instance_count, shares.preferred_count, is_preferred=False)

        total = shares.preferred_count * shares.of(100.0)
        total += (shares.instance_count - shares.preferred_count) * other.of(100.0)
        assert round(total, 6) == 100.0

    def test_equal_instances_have_equal_shares(self) -> None:
        fleet = make_fleet(("a", "milano", 1.0), ("b", "milano", 1.0))

        assert fleet_shares(fleet, preferred_names(fleet)).of(100.0) == 50.0
