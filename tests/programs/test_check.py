"""Tests of `radishmount-check` as operators run it."""

import json
from pathlib import Path

import pytest

from radishmount.border import read_bundle
from radishmount.programs._application import run_program
from radishmount.programs.check import PROGRAM, CheckCommand


ROOT = Path(__file__).parents[2]
PADANA = str(ROOT / "examples" / "padana")
BROKEN = str(ROOT / "tests" / "publication" / "broken" / "several-at-once")


def run(*argv: str) -> int:
    return run_program(PROGRAM, [CheckCommand()], argv)


class TestCheck:
    """The exit codes, the output and the bundle of the command."""

    @pytest.mark.parametrize("name", ["padana", "bajio"])
    def test_the_examples_have_no_fault(self, name: str) -> None:
        assert run(str(ROOT / "examples" / name)) == 0

    def test_writes_a_bundle_that_an_instance_can_read(self, tmp_path: Path) -> None:
        out = tmp_path / "bundle.json"

        assert run(PADANA, "--out", str(out), "--as", "7") == 0

        publication = read_bundle(out.read_bytes()).unwrap()
        assert publication.version == 7
        assert len(publication.endpoints_by_name) == 83

    def test_writes_nothing_when_there_is_a_fault(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        out = tmp_path / "bundle.json"

        assert run(BROKEN, "--out", str(out)) == 1

        assert not out.exists()
        errors = capsys.readouterr().err
        assert "set.jsonc:4: service/one: 5008 LIMIT_OF_ZERO" in errors
        assert errors.endswith("4 faults, nothing written\n")

    def test_prints_faults_as_json(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert run(BROKEN, "--json") == 1

        faults = json.loads(capsys.readouterr().out)["faults"]
        assert [fault["number"] for fault in faults] == [5008, 5007, 5009, 5004]
        assert faults[0]["line"] == 4

    def test_prints_the_changes_since_the_published_bundle(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = tmp_path / "old.json"
        changed = tmp_path / "set"
        changed.mkdir()
        for path in Path(PADANA).iterdir():
            text = path.read_text().replace('"quota": "30/s"', '"quota": "40/s"')
            (changed / path.name).write_text(text)
        assert run(PADANA, "--out", str(old)) == 0
        capsys.readouterr()

        assert run(str(changed), "--against", str(old)) == 0

        lines = capsys.readouterr().out.splitlines()
        assert lines[0] == "changed rule/book-order: quota_per_s"
        assert lines[1].startswith("version 2: ")

    def test_refuses_a_version_that_does_not_grow(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = tmp_path / "old.json"
        assert run(PADANA, "--out", str(old), "--as", "9") == 0

        assert run(PADANA, "--against", str(old), "--as", "9") == 1

        assert "5010 VERSION_NOT_GROWING" in capsys.readouterr().err

    @pytest.mark.parametrize(
        "argv", [(), (PADANA, "--bogus"), (PADANA, "--as", "x"), (PADANA, "--as", "9" * 5000)]
    )
    def test_wrong_usage_has_its_own_exit_code(self, argv: tuple[str, ...]) -> None:
        assert run(*argv) == 2

    def test_a_missing_folder_is_reported_as_a_fault(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run("no-such-folder") == 1

        assert "8002 UNREADABLE_FILE" in capsys.readouterr().err
