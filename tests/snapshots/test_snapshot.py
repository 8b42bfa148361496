"""The choice of an index version, and coverage."""

from radishmount.endpoints import Endpoint, LoadReport
from radishmount.publication import ALL_KEYS, Collection, EndpointSpec, KeyRange, Part, Shard
from radishmount.snapshots import (
    choose_complete_snapshot,
    choose_partial_snapshot,
    coverage_of,
    may_become_complete,
)


NOW_MS = 10_000.0
LOW, HIGH = KeyRange("", "m"), KeyRange("m", None)
SHARDS = (Shard("s0", "c", "low", LOW), Shard("s1", "c", "high", HIGH))


def replica(*versions: int, age_ms: float = 0.0) -> Endpoint:
    endpoint = Endpoint(EndpointSpec("e", "milano", "127.0.0.1:80"), slots=2)
    at_ms = NOW_MS - age_ms
    endpoint.record_report(LoadReport(versions=frozenset(versions)), at_ms, at_ms)
    return endpoint


def failing(*versions: int) -> Endpoint:
    endpoint = replica(*versions)
    endpoint.ejection.record_failure(NOW_MS)
    return endpoint


def version(endpoints: dict[str, list[Endpoint]], given_up: tuple[int, ...] = ()) -> int | None:
    found = choose_complete_snapshot("c", SHARDS, lambda s: endpoints[s], NOW_MS, given_up)
    return found.index_version if found else None


def best(endpoints: dict[str, list[Endpoint]]) -> int | None:
    found = choose_partial_snapshot("c", SHARDS, lambda s: endpoints[s], NOW_MS)
    return found.index_version if found else None


class TestChooseSnapshot:
    """The highest version that a well replica of every shard holds."""

    def test_the_highest_that_all_hold(self) -> None:
        assert version({"low": [replica(1, 2), replica(2, 3)], "high": [replica(1, 2)]}) == 2

    def test_a_version_that_was_given_up_may_be_followed_by_a_higher_one(self) -> None:
        assert version({"low": [replica(1, 2)], "high": [replica(1, 2)]}, given_up=(1,)) == 2
        assert version({"low": [replica(1, 2)], "high": [replica(1, 2)]}, given_up=(2,)) == 1

    def test_a_replica_that_just_failed_does_not_carry_a_version(self) -> None:
        assert version({"low": [failing(2), replica(1)], "high": [replica(1, 2)]}) == 1

    def test_a_denied_version_is_not_held(self) -> None:
        liar = replica(1, 2)
        liar.record_missing_version(2, NOW_MS)

        assert version({"low": [liar], "high": [replica(1, 2)]}) == 1

    def test_old_evidence_and_leaving_replicas_do_not_count(self) -> None:
        leaving = replica(2)
        leaving.set_listed_as_leaving(True, NOW_MS)

        assert version({"low": [leaving, replica(2, age_ms=2_001.0)], "high": [replica(2)]}) is None

    def test_the_best_leaves_the_fewest_shards_lost(self) -> None:
        assert best({"low": [], "high": [replica(1, 2)]}) == 2
        assert best({"low": [failing(1)], "high": [replica(1, 2)]}) == 1
        assert best({"low": [], "high": []}) is None

    def test_a_map_that_nobody_serves_yet_is_not_used(self) -> None:
        shards = (*SHARDS, Shard("s2", "c", "new", HIGH, since=5))
        endpoints = {"low": [replica(4, 5)], "high": [replica(4, 5)], "new": []}
        found = choose_complete_snapshot("c", shards, lambda s: endpoints[s], NOW_MS)

        assert found is not None
        assert found.index_version == 4
        assert [shard.name for shard in found.shards] == ["s0", "s1"]


class TestMayBecomeWhole:
    """Old evidence is waited for, failed endpoints are not."""

    def test_old_evidence(self) -> None:
        endpoints = {"low": [replica(1, age_ms=5_000.0)], "high": [replica(1)]}

        assert may_become_complete(SHARDS, lambda s: endpoints[s], NOW_MS)

    def test_failed_endpoints(self) -> None:
        dead = replica(1, age_ms=5_000.0)
        dead.ejection.record_failure(NOW_MS)
        endpoints = {"low": [dead], "high": [replica(1)]}

        assert not may_become_complete(SHARDS, lambda s: endpoints[s], NOW_MS)


class TestCoverage:
    """Coverage speaks of the parts of the keys, whatever the shards were."""

    def test_a_part_over_two_shards_needs_both(self) -> None:
        collection = Collection(
            "c", (Part("a-f", KeyRange("a", "f")), Part("k-p", KeyRange("k", "p")))
        )
        coverage = coverage_of(collection, ALL_KEYS, [LOW])

        assert coverage.covered == ("a-f",)
        assert coverage.missing == ("k-p",)
        assert coverage_of(collection, ALL_KEYS, [LOW, HIGH]).complete
