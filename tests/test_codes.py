"""The table of codes in the docs, compared with the code."""

from pathlib import Path

from radishmount.border._refusals import status_of
from radishmount.codes import TEXT_BY_CODE, Code


TABLE = Path(__file__).parents[1] / "docs" / "CODES.md"
FIRST_NOT_TOLD_TO_CALLERS = 5000


def row_of(code: Code) -> str:
    """Return the row of `code` as it stands in docs/CODES.md."""
    is_told = code < FIRST_NOT_TOLD_TO_CALLERS or code is Code.INTERNAL
    status = str(status_of(code).value) if is_told else ""
    return f"| {code.value} | {code.name} | {status} | {TEXT_BY_CODE[code]} |"


class TestCodes:
    """Every code has a text and a row."""

    def test_every_code_has_a_text(self) -> None:
        assert set(TEXT_BY_CODE) == set(Code)

    def test_the_table_has_exactly_these_rows(self) -> None:
        rows = [line for line in TABLE.read_text().splitlines() if line.startswith("| ")]

        # A missing row can be pasted into the table as it is printed here.
        assert rows[2:] == [row_of(code) for code in sorted(Code)]
