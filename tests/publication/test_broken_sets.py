"""Sets of objects that are broken on purpose are refused, with a diagnostic for each problem."""

from pathlib import Path

import pytest
from result import Err

from radishmount.border import check_folder, read_folder


BROKEN = Path(__file__).parent / "broken"
DIAGNOSTICS_BY_SET = {
    "ambiguous-target": ["16 rule/find AMBIGUOUS_TARGET", "17 caller/shop AMBIGUOUS_TARGET"],
    "bad-address": ["4 service/one BROKEN_OBJECT", "7 service/two BROKEN_OBJECT"],
    "bad-types": [
        "16 rule/find BROKEN_OBJECT",
        "16 rule/find BROKEN_OBJECT",
        "18 balancer/one BROKEN_OBJECT",
        "4 service/one BROKEN_OBJECT",
        "None object BROKEN_OBJECT",
    ],
    "dangling-references": [
        "15 shard/high DANGLING_REFERENCE",
        "16 rule/find DANGLING_REFERENCE",
        "17 caller/shop DANGLING_REFERENCE",
        "17 caller/shop DANGLING_REFERENCE",
        "18 shard/lost DANGLING_REFERENCE",
        "19 evacuation/drill DANGLING_REFERENCE",
        "4 service/one DANGLING_REFERENCE",
    ],
    "duplicate-address": ["7 service/two DUPLICATE_ADDRESS"],
    "duplicate-objects": [
        "10 collection/papers DUPLICATE_OBJECT",
        "18 data-centre/milano DUPLICATE_OBJECT",
        "4 service/one DUPLICATE_OBJECT",
    ],
    "empty-range": [
        "10 collection/papers HOLE_IN_SHARDS",
        "10 collection/papers OVERLAPPING_SHARDS",
        "15 shard/high EMPTY_RANGE",
        "18 shard/turned EMPTY_RANGE",
    ],
    "empty-shard": ["13 shard/high EMPTY_SHARD"],
    "hole": ["10 collection/papers HOLE_IN_SHARDS", "10 collection/papers HOLE_IN_SHARDS"],
    "hole-after-repartition": ["10 collection/papers HOLE_IN_SHARDS"],
    "limit-of-zero": [
        "16 rule/find LIMIT_OF_ZERO",
        "16 rule/find LIMIT_OF_ZERO",
        "4 service/one LIMIT_OF_ZERO",
        "4 service/one LIMIT_OF_ZERO",
    ],
    "overlap": ["10 collection/papers OVERLAPPING_SHARDS"],
    "several-at-once": [
        "10 collection/papers HOLE_IN_SHARDS",
        "16 rule/find UNKNOWN_UNIT",
        "17 caller/shop DANGLING_REFERENCE",
        "4 service/one LIMIT_OF_ZERO",
    ],
    "syntax": ["3 file BROKEN_SYNTAX"],
    "unknown-unit": ["16 rule/find UNKNOWN_UNIT", "16 rule/find UNKNOWN_UNIT"],
}


class TestBrokenSets:
    """The check of a folder with a set of objects that must not be published."""

    @pytest.mark.parametrize("name", sorted(DIAGNOSTICS_BY_SET))
    def test_reports_each_problem_with_its_location(self, name: str) -> None:
        checked = check_folder(read_folder(BROKEN / name), version=1)

        assert isinstance(checked, Err)
        reported = sorted(f"{d.line} {d.subject} {d.code.name}" for d in checked.err_value)
        assert reported == DIAGNOSTICS_BY_SET[name]
        assert {Path(diagnostic.file).name for diagnostic in checked.err_value} == {"set.jsonc"}

    def test_expects_diagnostics_for_every_folder(self) -> None:
        assert sorted(path.name for path in BROKEN.iterdir()) == sorted(DIAGNOSTICS_BY_SET)

    def test_checks_no_references_while_a_file_cannot_be_read(self, tmp_path: Path) -> None:
        readable = (BROKEN / "overlap" / "set.jsonc").read_text()
        (tmp_path / "whole.jsonc").write_text(readable.replace('"one"', '"elsewhere"'))
        (tmp_path / "truncated.jsonc").write_text('{ "kind": "service"')

        checked = check_folder(read_folder(tmp_path), version=1)

        assert [found.code.name for found in checked.unwrap_err()] == ["BROKEN_SYNTAX"]
