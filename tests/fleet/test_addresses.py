"""The addresses that callers are told to use."""

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


def fleet_of(*centres: str) -> Fleet:
    own = MemberUpdate("entry-0", 1, 0, MemberState.LIVE)
    fleet = Fleet("entry-0", centres[0], MemberTable(own, centres[0]))
    listed = tuple(
        Instance(f"entry-{number}", centre, f"{number}:1", "")
        for number, centre in enumerate(centres)
    )
    fleet.apply_list(InstanceList(1, listed))
    return fleet


def tell(fleet: Fleet, name: str, state: MemberState) -> None:
    fleet.members.apply(MemberUpdate(name, 1, 1, state), "test")


def names(fleet: Fleet, caller: str = "desk", data_centre: str = "milano") -> list[str]:
    return [i.name for i in choose_addresses(fleet, caller, data_centre).instances]


class TestChooseAddresses:
    """Callers get fit instances, their own data centre first, and always two data centres."""

    def test_own_data_centre_first_and_another_last(self) -> None:
        fleet = fleet_of("milano", "milano", "milano", "milano", "torino", "torino")
        answer = choose_addresses(fleet, "desk", "milano").instances

        assert [i.data_centre for i in answer] == ["milano"] * 3 + ["torino"]

    def test_leaving_instances_are_not_among_them(self) -> None:
        fleet = fleet_of("milano", "milano", "torino")
        tell(fleet, "entry-1", MemberState.LEAVING)

        assert set(names(fleet)) == {"entry-0", "entry-2"}

    def test_an_instance_that_leaves_names_others_only(self) -> None:
        fleet = fleet_of("milano", "milano", "torino")
        fleet.members.set_own_state(MemberState.LEAVING, "test")

        assert "entry-0" not in names(fleet)

    def test_listed_as_leaving_is_enough(self) -> None:
        fleet = fleet_of("milano", "torino")
        leaving = Instance("entry-1", "torino", "", "", InstanceState.LEAVING)
        fleet.apply_list(InstanceList(2, (fleet.by_name["entry-0"], leaving)))

        assert names(fleet) == ["entry-0"]

    def test_suspected_and_overloaded_are_the_last_resort(self) -> None:
        fleet = fleet_of("milano", "milano", "torino", "torino")
        tell(fleet, "entry-0", MemberState.SUSPECTED)
        fleet.members.set_own_state(MemberState.OVERLOADED, "test")
        tell(fleet, "entry-1", MemberState.SUSPECTED)

        assert set(names(fleet)[:2]) == {"entry-2", "entry-3"}
        assert set(names(fleet)[2:]) == {"entry-0", "entry-1"}

    def test_a_second_data_centre_even_if_all_of_it_is_suspected(self) -> None:
        fleet = fleet_of("milano", "milano", "milano", "milano", "milano", "torino")
        tell(fleet, "entry-5", MemberState.SUSPECTED)

        assert names(fleet)[-1] == "entry-5"
        assert len(names(fleet)) == 4

    def test_callers_spread(self) -> None:
        fleet = fleet_of("milano", "milano", "milano")
        first = {names(fleet, caller=f"desk-{number}")[0] for number in range(50)}

        assert first == {"entry-0", "entry-1", "entry-2"}

    def test_a_loaded_instance_comes_later(self) -> None:
        fleet = fleet_of("milano", "milano", "milano")
        fleet.members.record_contact(PeerIdentity("entry-1", "milano", 1), 0.8, now_ms=0.0)

        for number in range(20):
            assert names(fleet, caller=f"desk-{number}")[-1] == "entry-1"
