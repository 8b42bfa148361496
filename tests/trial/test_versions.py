"""Tests of the monitor of the publication versions that entries have active."""

from radishmount.trial import EntryObservation, VersionMonitor


def observe(monitor: VersionMonitor, now_ms: float, published: int, **versions: int) -> None:
    observations = {
        name: EntryObservation(version, True, True) for name, version in versions.items()
    }
    monitor.observe(now_ms, published, observations)


class TestVersionMonitor:
    """The lag of entries behind the published version, and returns to older versions."""

    def test_sums_up_the_time_that_an_entry_lags_behind(self) -> None:
        monitor = VersionMonitor()
        observe(monitor, 0.0, 1, a=1, b=1)
        observe(monitor, 100.0, 2, a=1, b=2)
        observe(monitor, 200.0, 2, a=1, b=2)
        observe(monitor, 300.0, 2, a=2, b=2)

        assert monitor.worst_lag_ms == 200.0

    def test_catching_up_with_one_version_ends_only_its_lag(self) -> None:
        monitor = VersionMonitor()
        for number in range(10):
            observe(monitor, number * 100.0, number + 1, a=number)

        assert monitor.worst_lag_ms == 100.0

    def test_time_while_unreachable_does_not_count_as_lag(self) -> None:
        monitor = VersionMonitor()
        monitor.observe(0.0, 2, {"a": EntryObservation(1, False, True)})
        monitor.observe(9_000.0, 2, {"a": EntryObservation(1, False, True)})

        assert monitor.worst_lag_ms == 0.0

    def test_counts_a_return_to_an_older_version(self) -> None:
        monitor = VersionMonitor()
        observe(monitor, 0.0, 3, a=3)
        observe(monitor, 100.0, 3, a=2)

        assert monitor.regressions == 1

    def test_a_restart_on_an_older_version_counts_only_once_the_entry_has_started(self) -> None:
        monitor = VersionMonitor()
        observe(monitor, 0.0, 3, a=3)
        monitor.observe(100.0, 3, {})
        monitor.observe(200.0, 3, {"a": EntryObservation(0, True, False)})
        assert monitor.regressions == 0

        observe(monitor, 300.0, 3, a=2)

        assert monitor.regressions == 1
