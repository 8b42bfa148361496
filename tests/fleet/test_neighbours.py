"""Tests of the graph of streams between instances."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmount.fleet import NEIGHBOUR_LIMIT, Instance, neighbours_of


CENTRES = [f"centre-{number}" for number in range(8)]


def make_instances(size: int) -> list[Instance]:
    return [
        Instance(f"entry-{number:03d}", CENTRES[number % len(CENTRES)], "", "")
        for number in range(size)
    ]


def graph_of(instances: list[Instance]) -> dict[str, set[str]]:
    return {i.name: set(neighbours_of(i.name, i.data_centre, instances)) for i in instances}


def reachable_from(graph: dict[str, set[str]], start: str, without: set[str]) -> set[str]:
    seen, frontier = {start}, [start]
    while frontier:
        for name in graph[frontier.pop()] - seen - without:
            seen.add(name)
            frontier.append(name)
    return seen


class TestNeighbours:
    """A bounded number of neighbours keeps the fleet connected."""

    @settings(max_examples=30, deadline=None)
    @given(st.integers(1, 60))
    def test_neighbours_are_symmetric_and_bounded(self, size: int) -> None:
        graph = graph_of(make_instances(size))

        for name, neighbours in graph.items():
            assert len(neighbours) <= NEIGHBOUR_LIMIT
            assert all(name in graph[other] for other in neighbours)

    def test_nine_instances_are_a_full_mesh(self) -> None:
        assert {len(neighbours) for neighbours in graph_of(make_instances(9)).values()} == {8}

    def test_five_hundred_instances_are_connected(self) -> None:
        graph = graph_of(make_instances(500))

        assert len(reachable_from(graph, "entry-000", set())) == 500

    @pytest.mark.parametrize("centre", CENTRES)
    def test_a_lost_data_centre_leaves_both_sides_connected(self, centre: str) -> None:
        instances = make_instances(500)
        graph = graph_of(instances)
        lost = {i.name for i in instances if i.data_centre == centre}
        kept = {i.name for i in instances} - lost

        assert reachable_from(graph, min(kept), lost) == kept
        assert reachable_from(graph, min(lost), kept) == lost
