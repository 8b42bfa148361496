"""The check that parts and shards partition the keys, compared with a simple full check."""

from hypothesis import given, settings
from hypothesis import strategies as st

from radishmount.codes import Code
from radishmount.publication import Collection, KeyRange, Part, Shard
from radishmount.publication._partitioning import check_partitioning


PAPERS = Collection("papers", (Part("all", KeyRange()),))
BOUNDS = ["", "d", "h", "m", "t"]


@st.composite
def shard_lists(draw: st.DrawFn) -> list[Shard]:
    """Return shards over few bounds and versions, so that many maps are partitions."""
    shards = []
    for number in range(draw(st.integers(1, 8))):
        low = draw(st.integers(0, len(BOUNDS) - 1))
        high = draw(st.integers(low + 1, len(BOUNDS)))
        since = draw(st.integers(1, 3))
        until = draw(st.sampled_from([None, since + 1, since + 2]))
        keys = KeyRange(BOUNDS[low], BOUNDS[high] if high < len(BOUNDS) else None)
        shards.append(Shard(f"s{number}", "papers", "one", keys, since, until))
    return shards


def is_partition(shards: list[Shard], index_version: int) -> bool:
    """Return whether exactly one shard holds the keys from each bound on at `index_version`."""
    return all(
        sum(s.is_in(index_version) and s.keys.contains(bound) for s in shards) == 1
        for bound in BOUNDS
    )


def changes_of(shards: list[Shard]) -> set[int]:
    """Return the index versions at which the map may change."""
    return {s.since for s in shards} | {s.until for s in shards if s.until is not None}


class TestCheckPartitioning:
    """Overlaps and holes in the shard maps of all index versions."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(shards=shard_lists())
    def test_agrees_with_a_check_of_every_key_and_version(self, shards: list[Shard]) -> None:
        wanted = all(is_partition(shards, version) for version in changes_of(shards))

        assert (check_partitioning(PAPERS, shards) == []) is wanted

    def test_a_repartition_without_overlap_or_hole_is_valid(self) -> None:
        shards = [
            Shard("low", "papers", "one", KeyRange("", "m")),
            Shard("high", "papers", "one", KeyRange("m", None), until=4),
            Shard("high-1", "papers", "one", KeyRange("m", "t"), since=4),
            Shard("high-2", "papers", "one", KeyRange("t", None), since=4),
        ]

        assert check_partitioning(PAPERS, shards) == []

    def test_reports_a_defect_of_several_versions_once(self) -> None:
        shards = [Shard("low", "papers", "one", KeyRange("", "m"))]
        shards += [Shard(f"t{n}", "papers", "one", KeyRange("t"), n, n + 1) for n in range(1, 9)]

        holes = [
            f.detail for f in check_partitioning(PAPERS, shards) if f.code is Code.HOLE_IN_SHARDS
        ]

        assert holes == [
            "index version 1: from 'm' to 't'",
            "index version 9: from 'm' on",
        ]

    def test_a_collection_without_shards_has_a_hole(self) -> None:
        assert [found.code for found in check_partitioning(PAPERS, [])] == [Code.HOLE_IN_SHARDS]
