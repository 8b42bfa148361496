"""Tests of which instances callers are sent to, where machines are of unequal size."""

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


def fleet_of(*instances: tuple[str, str, float]) -> Fleet:
    """Return a fleet as its first instance sees it: names, data centres and capacities."""
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


def named(fleet: Fleet, data_centre: str) -> set[str]:
    """Return the names that a caller of `data_centre` is told."""
    return {instance.name for instance in choose_preferred(fleet, data_centre, 64)}


UNEQUAL = (
    ("big-1", "milano", 2.15),
    ("big-2", "milano", 2.15),
    *((f"small-{n}", "milano", 0.516) for n in range(9)),
    ("far", "torino", 2.15),
)


class TestChoosePreferred:
    """The quick ones of the caller's data centre, and never a single one."""

    def test_equal_instances_are_all_named(self) -> None:
        fleet = fleet_of(("a", "milano", 1.0), ("b", "milano", 1.0), ("c", "milano", 1.0))

        assert named(fleet, "milano") == {"a", "b", "c"}

    def test_the_quick_ones_are_named_where_machines_are_unequal(self) -> None:
        assert named(fleet_of(*UNEQUAL), "milano") == {"big-1", "big-2"}

    def test_a_lost_one_is_made_up_for(self) -> None:
        fleet = fleet_of(*UNEQUAL)
        fleet.members.apply(MemberUpdate("big-2", 1, 1, MemberState.SUSPECTED), "no answer")

        chosen = named(fleet, "milano")
        assert "big-1" in chosen
        assert len(chosen) == 2
        assert "far" not in chosen

    def test_all_others_take_over_from_the_quick_ones(self) -> None:
        fleet = fleet_of(*UNEQUAL)
        for name in ("big-2", "far"):
            fleet.members.apply(MemberUpdate(name, 1, 1, MemberState.LEAVING), "stops")
        fleet.members.update_own_load(2.0)

        assert named(fleet, "milano") == {f"small-{n}" for n in range(9)}

    def test_a_data_centre_with_one_instance_has_another_one_far_off(self) -> None:
        assert named(fleet_of(*UNEQUAL), "torino") == {"far", "big-1"} or named(
            fleet_of(*UNEQUAL), "torino"
        ) == {"far", "big-2"}


class TestShares:
    """What is shared is divided over all, and half of it over those that carry requests."""

    def test_carriers_are_those_that_any_caller_is_told(self) -> None:
        assert preferred_names(fleet_of(*UNEQUAL)) == {"big-1", "big-2", "far"}

    def test_the_shares_of_all_come_to_the_whole(self) -> None:
        fleet = fleet_of(*UNEQUAL)
        shares = fleet_shares(fleet, preferred_names(fleet))
        other = FleetShares(shares.instance_count, shares.preferred_count, is_preferred=False)

        total = shares.preferred_count * shares.of(100.0)
        total += (shares.instance_count - shares.preferred_count) * other.of(100.0)
        assert round(total, 6) == 100.0

    def test_equal_instances_have_equal_shares(self) -> None:
        fleet = fleet_of(("a", "milano", 1.0), ("b", "milano", 1.0))

        assert fleet_shares(fleet, preferred_names(fleet)).of(100.0) == 50.0
