"""Tests of the log of requests that were slow, partial or refused."""

from radishmount.queries import ExplainLog, SearchRecord, SearchVerdict


def record(request_id: str) -> SearchRecord:
    return SearchRecord(request_id, "desk", "registry", SearchVerdict.SLOW, 0.0, 150.0, 190.0)


class TestExplainLog:
    """Keeps the most recent records and drops the oldest."""

    def test_a_record_is_found_by_its_request_id(self) -> None:
        log = ExplainLog()
        log.add(record("r1"))

        assert log.find("r1") == record("r1")
        assert log.find("r2") is None

    def test_the_oldest_record_is_dropped_first(self) -> None:
        log = ExplainLog(limit=2)
        for name in ("r1", "r2", "r3"):
            log.add(record(name))

        assert log.find("r1") is None
        assert log.find("r3") is not None

    def test_a_repeated_id_is_kept_as_the_newest(self) -> None:
        log = ExplainLog(limit=2)
        for name in ("r1", "r2", "r1", "r3"):
            log.add(record(name))

        assert log.find("r1") is not None
        assert log.find("r2") is None
