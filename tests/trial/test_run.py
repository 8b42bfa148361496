"""Tests of whole small trials over loopback: their results, but not their speed."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from radishmount.programs._trial_run import TrialOutcome, run_trial
from radishmount.standins import EndpointStandIn, read_trial_file
from radishmount.trial import CallOutcome, report_page, result_of, result_text


SMALL = """{
  "name": "small",
  "duration": "500ms",
  "warm_up": "100ms",
  "idle": "50ms",
  "region": {
    "data_centres": ["torino", "milano"],
    "entries": 2,
    "services": [{"name": "s", "count": 2, "endpoints": 2, "slots": 2, "connections": 9}],
    "collections": [{"name": "c", "services": "s", "parts_per_shard": 2}],
  },
  "loads": [
    {"caller": "w", "target": "c", "rate": "20/s", "deadline": "4s", "data_centre": "milano"},
  ],
  "faults": [%s],
  "bounds": [{"figure": "mixed_snapshots", "at_most": 0}],
}"""
REQUIRED_FIELDS = {
    "queries",
    "answered",
    "complete",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage_mean",
    "extra_load_ratio",
    "mixed_snapshots",
    "false_coverage",
    "crossed_answers",
    "ran_after_not_run",
    "ran_twice",
    "work_after_leaving",
    "cut_in_flight",
    "cpu_us_per_subrequest",
    "control_cpu_ratio",
    "control_bytes_per_s",
    "platform_reads_per_s",
    "baseline",
}


async def run(tmp_path: Path, faults: str = "") -> TrialOutcome:
    path = tmp_path / "small.jsonc"
    path.write_text(SMALL % faults)
    return await run_trial(read_trial_file(path).unwrap())


@pytest.fixture
def forged_row_fields(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, object]]:
    """Fields that every endpoint stand-in writes into its rows instead of the correct values."""
    forged: dict[str, object] = {}
    correct_rows = EndpointStandIn._rows

    def rows(self, record, body):  # type: ignore[no-untyped-def]
        rows_made = correct_rows(self, record, body)
        return [[key, score, {**fields, **forged}] for key, score, fields in rows_made]

    monkeypatch.setattr(EndpointStandIn, "_rows", rows)
    return forged


class TestRunTrial:
    """The entries and the baseline run under the same load."""

    async def test_result_has_the_required_fields_and_no_violations(self, tmp_path: Path) -> None:
        outcome = await run(tmp_path)
        result = result_of(outcome.summary)

        assert set(result) >= REQUIRED_FIELDS
        assert set(result["baseline"]) >= REQUIRED_FIELDS - {"baseline"}
        assert result["queries"] == result["answered"] == len(outcome.calls) > 0
        assert result["baseline"]["queries"] == result["queries"]
        assert result["examples"] == []
        json.dumps(result)

    async def test_renders_the_result_as_text_and_as_a_self_contained_page(
        self, tmp_path: Path
    ) -> None:
        outcome = await run(tmp_path)
        page = report_page(outcome.summary, outcome.calls, outcome.baseline_calls)

        assert "met    mixed_snapshots <= 0" in result_text(outcome.summary)
        assert page.count("<svg") == 2
        assert "http" not in page

    async def test_counts_answers_with_rows_of_another_request(
        self, tmp_path: Path, forged_row_fields: dict[str, object]
    ) -> None:
        forged_row_fields["text"] = "words of another"
        outcome = await run(tmp_path)

        assert outcome.summary.figures.figure("crossed_answers") == len(outcome.calls)

    async def test_counts_answers_whose_rows_cover_less_than_reported(
        self, tmp_path: Path, forged_row_fields: dict[str, object]
    ) -> None:
        forged_row_fields["from"] = "9999"
        outcome = await run(tmp_path)

        assert outcome.summary.figures.figure("false_coverage") == len(outcome.calls)

    async def test_callers_get_correct_answers_while_entries_join_vanish_and_are_partitioned(
        self, tmp_path: Path
    ) -> None:
        faults = """{"kind": "entry-vanish", "at": "100ms", "targets": ["entry-1"]},
            {"kind": "entry-join", "at": "200ms", "targets": ["entry-3"]},
            {"kind": "publish", "at": "200ms"},
            {"kind": "partition", "at": "250ms", "until": "300ms", "targets": ["entry-2"]}"""
        outcome = await run(tmp_path, faults)

        assert all(call.outcome is CallOutcome.ANSWER for call in outcome.calls)
        assert violation_count(outcome) == 0


def violation_count(outcome: TrialOutcome) -> int:
    names = ("mixed_snapshots", "false_coverage", "crossed_answers", "ran_after_not_run")
    return sum(outcome.summary.figures.by_name[name] for name in names)
