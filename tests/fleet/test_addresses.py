"""Tests of the addresses that callers are given."""

from radishmount.fleet import (
    Fleet,
    Instance,
    InstanceList,
    InstanceState,
    MemberState,
    MemberTable,
    MemberUpdate,
    PeerIdentity,
    choose_addresses,
)


def make_fleet(*centres: str) -> Fleet:
    own = MemberUpdate("entry-0", 1, 0, MemberState.LIVE)
    fleet = Fleet("entry-0", centres[0], MemberTable(own, centres[0]))
    listed = tuple(
        Instance(f"entry-{number}", centre, f"{number}:1", "")
        for number, centre in enumerate(centres)
    )
    fleet.apply_list(InstanceList(1, listed))
    return fleet


def set_state(fleet: Fleet, name: str, state: MemberState) -> None:
    fleet.members.apply(MemberUpdate(name, 1, 1, state), "test")


def chosen_names(fleet: Fleet, caller: str = "desk", data_centre: str = "milano") -> list[str]:
    return [i.name for i in choose_addresses(fleet, caller, data_centre).instances]


class TestChooseAddresses:
    """Callers get healthy instances, own data centre first, of two data centres if possible."""

    def test_own_data_centre_first_and_another_last(self) -> None:
        fleet = make_fleet("milano", "milano", "milano", "milano", "torino", "torino")
        answer = choose_addresses(fleet, "desk", "milano").instances

        assert [i.data_centre for i in answer] == ["milano"] * 3 + ["torino"]

    def test_leaving_instances_are_excluded(self) -> None:
        fleet = make_fleet("milano", "milano", "torino")
        set_state(fleet, "entry-1", MemberState.LEAVING)

        assert set(chosen_names(fleet)) == {"entry-0", "entry-2"}

    def test_a_leaving_instance_returns_only_others(self) -> None:
        fleet = make_fleet("milano", "milano", "torino")
        fleet.members.set_own_state(MemberState.LEAVING, "test")

        assert "entry-0" not in chosen_names(fleet)

    def test_an_instance_listed_as_leaving_is_excluded(self) -> None:
        fleet = make_fleet("milano", "torino")
        leaving = Instance("entry-1", "torino", "", "", InstanceState.LEAVING)
        fleet.apply_list(InstanceList(2, (fleet.by_name["entry-0"], leaving)))

        assert chosen_names(fleet) == ["entry-0"]

    def test_suspected_and_overloaded_instances_come_last(self) -> None:
        fleet = make_fleet("milano", "milano", "torino", "torino")
        set_state(fleet, "entry-0", MemberState.SUSPECTED)
        fleet.members.set_own_state(MemberState.OVERLOADED, "test")
        set_state(fleet, "entry-1", MemberState.SUSPECTED)

        assert set(chosen_names(fleet)[:2]) == {"entry-2", "entry-3"}
        assert set(chosen_names(fleet)[2:]) == {"entry-0", "entry-1"}

    def test_a_second_data_centre_is_included_even_if_all_of_it_is_suspected(self) -> None:
        fleet = make_fleet("milano", "milano", "milano", "milano", "milano", "torino")
        set_state(fleet, "entry-5", MemberState.SUSPECTED)

        assert chosen_names(fleet)[-1] == "entry-5"
        assert len(chosen_names(fleet)) == 4

    def test_callers_are_distributed_over_the_instances(self) -> None:
        fleet = make_fleet("milano", "milano", "milano")
        first = {chosen_names(fleet, caller=f"desk-{number}")[0] for number in range(50)}

        assert first == {"entry-0", "entry-1", "entry-2"}

    def test_a_loaded_instance_comes_last(self) -> None:
        fleet = make_fleet("milano", "milano", "milano")
        fleet.members.record_contact(PeerIdentity("entry-1", "milano", 1), 0.8, now_ms=0.0)

        for number in range(20):
            assert chosen_names(fleet, caller=f"desk-{number}")[-1] == "entry-1"
