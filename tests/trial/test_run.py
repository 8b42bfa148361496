"""Tests of whole small trials over loopback: what they give, never how fast."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from radishmount.programs._trial_run import TrialOutcome, run_trial
from radishmount.standins import EndpointStandIn, read_trial_file
from radishmount.trial import Told, report_page, result_of, result_text


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
STATED_FIELDS = {
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
def forged_rows(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, object]]:
    """Fields that every endpoint stand-in writes into its rows in place of the true ones."""
    forged: dict[str, object] = {}
    true_rows = EndpointStandIn._rows

    def rows(self, record, body):  # type: ignore[no-untyped-def]
        made = true_rows(self, record, body)
        return [[key, score, {**fields, **forged}] for key, score, fields in made]

    monkeypatch.setattr(EndpointStandIn, "_rows", rows)
    return forged


class TestRunTrial:
    """The fleet and the baseline, under one load."""

    async def test_gives_the_stated_fields_and_no_broken_promise(self, tmp_path: Path) -> None:
        outcome = await run(tmp_path)
        result = result_of(outcome.summary)

        assert set(result) >= STATED_FIELDS
        assert set(result["baseline"]) >= STATED_FIELDS - {"baseline"}
        assert result["queries"] == result["answered"] == len(outcome.calls) > 0
        assert result["baseline"]["queries"] == result["queries"]
        assert result["examples"] == []
        json.dumps(result)

    async def test_shows_the_result_to_people(self, tmp_path: Path) -> None:
        outcome = await run(tmp_path)
        page = report_page(outcome.summary, outcome.calls, outcome.baseline_calls)

        assert "met    mixed_snapshots <= 0" in result_text(outcome.summary)
        assert page.count("<svg") == 2
        assert "http" not in page

    async def test_counts_rows_of_another_request(
        self, tmp_path: Path, forged_rows: dict[str, object]
    ) -> None:
        forged_rows["text"] = "words of another"
        outcome = await run(tmp_path)

        assert outcome.summary.figures.figure("crossed_answers") == len(outcome.calls)

    async def test_counts_rows_of_narrower_ranges_than_told(
        self, tmp_path: Path, forged_rows: dict[str, object]
    ) -> None:
        forged_rows["from"] = "9999"
        outcome = await run(tmp_path)

        assert outcome.summary.figures.figure("false_coverage") == len(outcome.calls)

    async def test_entries_come_and_go(self, tmp_path: Path) -> None:
        faults = """{"kind": "entry-vanish", "at": "100ms", "targets": ["entry-1"]},
            {"kind": "entry-join", "at": "200ms", "targets": ["entry-3"]},
            {"kind": "publish", "at": "200ms"},
            {"kind": "partition", "at": "250ms", "until": "300ms", "targets": ["entry-2"]}"""
        outcome = await run(tmp_path, faults)

        assert all(call.told is Told.ANSWER for call in outcome.calls)
        assert _violations(outcome) == 0


def _violations(outcome: TrialOutcome) -> int:
    names = ("mixed_snapshots", "false_coverage", "crossed_answers", "ran_after_not_run")
    return sum(outcome.summary.figures.by_name[name] for name in names)
