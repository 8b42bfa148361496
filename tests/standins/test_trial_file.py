"""Tests of the trial file: the plan that it yields, and what it refuses."""

from pathlib import Path

import pytest
from result import Err

from radishmount.border import build_publication, parse_object
from radishmount.standins import read_trial_file
from radishmount.trial import FaultKind, TrialPlan, objects_of, shards_of


EXAMPLES = Path(__file__).parents[2] / "examples"
SMALL_TRIAL = """{
  "name": "small",
  "duration": "2s",
  "region": {
    "data_centres": ["milano"],
    "entries": 1,
    "services": [{"name": "s", "count": 2, "endpoints": 2, "slots": 2, "connections": 9}],
    "collections": [{"name": "c", "services": "s"}],
  },
  "loads": [
    {"caller": "w", "target": "c", "rate": "5/s", "deadline": "1s", "data_centre": "milano"},
  ],
  // faults follow
  "faults": [%s],
}"""


def read_text(tmp_path: Path, text: str):  # type: ignore[no-untyped-def]
    path = tmp_path / "trial.jsonc"
    path.write_text(text)
    return read_trial_file(path)


def example_plans() -> list[TrialPlan]:
    paths = [EXAMPLES / "demo.jsonc", *sorted((EXAMPLES / "trials").glob("*.jsonc"))]
    return [read_trial_file(path).unwrap() for path in paths]


class TestTrialFile:
    """A trial file is JSON with comments and is validated."""

    def test_times_have_units(self, tmp_path: Path) -> None:
        plan = read_text(tmp_path, SMALL_TRIAL % "").unwrap()

        assert plan.duration_ms == 2_000.0
        assert [service.name for service in plan.region.services] == ["s-01", "s-02"]

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ('"2s"', "2", "duration:"),
            ('"2s"', '"2 weeks"', "duration:"),
            ('"entries": 1', '"entries": 0', "region.entries:"),
            ('"entries": 1', '"entries": 1, "colour": 1', "region.colour:"),
            ('"target": "c"', '"target": "d"', "w names d"),
            ('"data_centre": "milano"', '"data_centre": "roma"', "data centre roma"),
        ],
    )
    def test_a_refusal_names_file_and_field(
        self, tmp_path: Path, old: str, new: str, expected: str
    ) -> None:
        refusal = read_text(tmp_path, (SMALL_TRIAL % "").replace(old, new)).unwrap_err()

        assert "trial.jsonc" in refusal.detail
        assert expected in refusal.detail

    def test_refuses_a_fault_of_a_target_that_does_not_exist(self, tmp_path: Path) -> None:
        fault = '{"kind": "silent", "at": "1s", "targets": ["s-03-a"]}'

        assert isinstance(read_text(tmp_path, SMALL_TRIAL % fault), Err)


class TestObjects:
    """The objects that a trial publishes are valid and follow its repartitions."""

    @pytest.mark.parametrize("plan", example_plans(), ids=lambda plan: plan.name)
    def test_every_example_publishes_valid_objects(self, plan: TrialPlan) -> None:
        names = [n for service in plan.region.services for n in service.endpoint_names()]
        addresses = {name: f"127.0.0.1:{1000 + n}" for n, name in enumerate(names)}
        repartitions = [f for f in plan.faults if f.kind is FaultKind.REPARTITION]

        for count in range(len(repartitions) + 1):
            raw = objects_of(plan, addresses, repartitions[:count])
            objects = [parse_object(item).unwrap() for item in raw]
            build_publication(1, "", objects).unwrap()

    def test_a_repartition_moves_the_upper_half_of_a_shard(self, tmp_path: Path) -> None:
        fault = """{"kind": "repartition", "at": "1s", "version": 2, "shard": "c-shard-1",
                    "to_service": "s-02"}"""
        plan = read_text(tmp_path, SMALL_TRIAL % fault).unwrap()

        shards = [shard for shard in shards_of(plan, plan.faults) if shard.is_in(2)]

        assert [shard.service for shard in shards] == ["s-01", "s-02", "s-02"]
        assert [shard.name for shard in shards_of(plan, plan.faults) if shard.is_in(1)] == [
            "c-shard-1",
            "c-shard-2",
        ]
