"""Tests of the watch on what entries have in force."""

from radishmount.trial import EntrySight, VersionWatch


def look(watch: VersionWatch, now_ms: float, published: int, **versions: int) -> None:
    sights = {name: EntrySight(version, True, True) for name, version in versions.items()}
    watch.look(now_ms, published, sights)


class TestVersionWatch:
    """Lag and going back, seen from outside."""

    def test_adds_up_the_time_that_an_entry_is_behind(self) -> None:
        watch = VersionWatch()
        look(watch, 0.0, 1, a=1, b=1)
        look(watch, 100.0, 2, a=1, b=2)
        look(watch, 200.0, 2, a=1, b=2)
        look(watch, 300.0, 2, a=2, b=2)

        assert watch.worst_lag_ms == 200.0

    def test_catching_up_with_one_version_ends_only_its_lag(self) -> None:
        watch = VersionWatch()
        for number in range(10):
            look(watch, number * 100.0, number + 1, a=number)

        assert watch.worst_lag_ms == 100.0

    def test_time_out_of_reach_does_not_count(self) -> None:
        watch = VersionWatch()
        watch.look(0.0, 2, {"a": EntrySight(1, False, True)})
        watch.look(9_000.0, 2, {"a": EntrySight(1, False, True)})

        assert watch.worst_lag_ms == 0.0

    def test_counts_going_back(self) -> None:
        watch = VersionWatch()
        look(watch, 0.0, 3, a=3)
        look(watch, 100.0, 3, a=2)

        assert watch.went_back == 1

    def test_a_restart_on_an_older_version_counts_once_it_takes_requests(self) -> None:
        watch = VersionWatch()
        look(watch, 0.0, 3, a=3)
        watch.look(100.0, 3, {})
        watch.look(200.0, 3, {"a": EntrySight(0, True, False)})
        assert watch.went_back == 0

        look(watch, 300.0, 3, a=2)

        assert watch.went_back == 1
