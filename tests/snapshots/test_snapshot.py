"""Tests of the choice of an index version, and of coverage."""

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


def failed_replica(*versions: int) -> Endpoint:
    endpoint = replica(*versions)
    endpoint.ejection.record_failure(NOW_MS)
    return endpoint


def complete_version(
    endpoints: dict[str, list[Endpoint]], excluded_versions: tuple[int, ...] = ()
) -> int | None:
    found = choose_complete_snapshot("c", SHARDS, lambda s: endpoints[s], NOW_MS, excluded_versions)
    return found.index_version if found else None


def partial_version(endpoints: dict[str, list[Endpoint]]) -> int | None:
    found = choose_partial_snapshot("c", SHARDS, lambda s: endpoints[s], NOW_MS)
    return found.index_version if found else None


class TestChooseSnapshot:
    """The highest version that a healthy replica of every shard holds, or the best partial one."""

    def test_the_highest_version_that_all_services_hold_is_chosen(self) -> None:
        assert (
            complete_version({"low": [replica(1, 2), replica(2, 3)], "high": [replica(1, 2)]}) == 2
        )

    def test_an_excluded_version_may_be_followed_by_a_higher_or_a_lower_one(self) -> None:
        assert (
            complete_version(
                {"low": [replica(1, 2)], "high": [replica(1, 2)]}, excluded_versions=(1,)
            )
            == 2
        )
        assert (
            complete_version(
                {"low": [replica(1, 2)], "high": [replica(1, 2)]}, excluded_versions=(2,)
            )
            == 1
        )

    def test_a_replica_that_has_just_failed_does_not_count(self) -> None:
        assert (
            complete_version({"low": [failed_replica(2), replica(1)], "high": [replica(1, 2)]}) == 1
        )

    def test_a_version_that_a_replica_denied_does_not_count(self) -> None:
        denying_replica = replica(1, 2)
        denying_replica.record_missing_version(2, NOW_MS)

        assert complete_version({"low": [denying_replica], "high": [replica(1, 2)]}) == 1

    def test_replicas_with_old_reports_and_leaving_replicas_do_not_count(self) -> None:
        leaving = replica(2)
        leaving.set_listed_as_leaving(True, NOW_MS)

        assert (
            complete_version({"low": [leaving, replica(2, age_ms=2_001.0)], "high": [replica(2)]})
            is None
        )

    def test_the_partial_snapshot_leaves_the_fewest_shards_unavailable(self) -> None:
        assert partial_version({"low": [], "high": [replica(1, 2)]}) == 2
        assert partial_version({"low": [failed_replica(1)], "high": [replica(1, 2)]}) == 1
        assert partial_version({"low": [], "high": []}) is None

    def test_a_shard_map_that_is_not_fully_served_yet_is_not_used(self) -> None:
        shards = (*SHARDS, Shard("s2", "c", "new", HIGH, since=5))
        endpoints = {"low": [replica(4, 5)], "high": [replica(4, 5)], "new": []}
        found = choose_complete_snapshot("c", shards, lambda s: endpoints[s], NOW_MS)

        assert found is not None
        assert found.index_version == 4
        assert [shard.name for shard in found.shards] == ["s0", "s1"]


class TestMayBecomeComplete:
    """It is worth waiting for endpoints that await a probe, but not for failed ones."""

    def test_an_endpoint_with_an_old_report_is_worth_waiting_for(self) -> None:
        endpoints = {"low": [replica(1, age_ms=5_000.0)], "high": [replica(1)]}

        assert may_become_complete(SHARDS, lambda s: endpoints[s], NOW_MS)

    def test_an_evacuated_endpoint_is_not_worth_waiting_for(self) -> None:
        """Guards against searches that wait for a probe which is never sent."""
        evacuated = replica(1, age_ms=5_000.0)
        evacuated.is_evacuated = True
        endpoints = {"low": [evacuated], "high": [replica(1)]}

        assert not may_become_complete(SHARDS, lambda s: endpoints[s], NOW_MS)

    def test_a_failed_endpoint_is_not_worth_waiting_for(self) -> None:
        failed = replica(1, age_ms=5_000.0)
        failed.ejection.record_failure(NOW_MS)
        endpoints = {"low": [failed], "high": [replica(1)]}

        assert not may_become_complete(SHARDS, lambda s: endpoints[s], NOW_MS)


class TestCoverage:
    """Coverage is given in parts of the key range, independently of the shards."""

    def test_a_part_is_covered_only_if_all_its_shards_answered(self) -> None:
        collection = Collection(
            "c", (Part("a-f", KeyRange("a", "f")), Part("k-p", KeyRange("k", "p")))
        )
        coverage = coverage_of(collection, ALL_KEYS, [LOW])

        assert coverage.covered == ("a-f",)
        assert coverage.missing == ("k-p",)
        assert coverage_of(collection, ALL_KEYS, [LOW, HIGH]).complete
