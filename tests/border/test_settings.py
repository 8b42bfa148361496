"""Tests of the settings file of an entry instance."""

from pathlib import Path

import pytest

from radishmount.border import read_entry_settings
from radishmount.codes import Code
from radishmount.programs._application import run_program
from radishmount.programs.entry import PROGRAM, RunCommand


EXAMPLE = Path(__file__).parents[2] / "examples" / "settings" / "entry.jsonc"


class TestSettings:
    """An invalid setting is an error that names the file and the field."""

    def test_the_example_file_is_valid(self) -> None:
        settings = read_entry_settings(EXAMPLE).unwrap()

        assert str(settings.caller_listen_address) == "127.0.0.1:8080"

    @pytest.mark.parametrize(
        ("old", "new", "expected_parts"),
        [
            ('"name":', '"nmae":', ["name: Field required", "nmae: Extra inputs"]),
            ('"127.0.0.1:8080"', "8080", ["caller_address: Input should be a valid string"]),
            ("127.0.0.1:8080", "localhost:8080", ["caller_address: must be an IPv4 address"]),
            ("127.0.0.1:8500", "127.0.0.1:0", ["platform: must have a port from 1"]),
            ("replace this by a long random text", "short", ["peer_key: String should have"]),
        ],
    )
    def test_every_invalid_setting_is_named(
        self, tmp_path: Path, old: str, new: str, expected_parts: list[str]
    ) -> None:
        path = tmp_path / "entry.jsonc"
        path.write_text(EXAMPLE.read_text().replace(old, new))

        refusal = read_entry_settings(path).unwrap_err()

        assert refusal.code is Code.BAD_SETTING
        assert str(path) in refusal.detail
        assert all(part in refusal.detail for part in expected_parts)

    def test_the_program_exits_with_an_error_if_the_file_is_invalid(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "entry.jsonc"
        path.write_text('{\n"name" "x"}')

        assert run_program(PROGRAM, [RunCommand()], ["--settings", str(path)]) == 2

        assert f"5001 BROKEN_SYNTAX: the file is not JSON with comments: {path}:2" in (
            capsys.readouterr().err
        )
