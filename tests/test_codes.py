"""The error codes, and their table in the docs."""

import runpy
from pathlib import Path

from radishmount.codes import TEXT_BY_CODE, Code


ROOT = Path(__file__).parents[1]


class TestCodes:
    """Every code has a text and a row in the table."""

    def test_every_code_has_a_text(self) -> None:
        assert set(TEXT_BY_CODE) == set(Code)

    def test_the_page_matches_the_code(self) -> None:
        written = runpy.run_path(str(ROOT / "scripts" / "write_codes.py"))["page"]()

        # `make format` writes the page.
        assert (ROOT / "docs" / "CODES.md").read_text() == written
