"""Generates docs/CODES.md from `radishmount.codes`; `make format` runs it."""

from pathlib import Path

from radishmount.border import http_status_of
from radishmount.codes import TEXT_BY_CODE, Code


PAGE = Path(__file__).parents[1] / "docs" / "CODES.md"
FIRST_CODE_NOT_SENT_TO_CALLERS = 5000
INTRODUCTION = """# Codes

Every refusal, failure and fault has a number that is never reused, in `src/radishmount/codes.py`.
The thousands digit names the area: 1 the request, 2 admission, 3 endpoints and snapshots, 4
orders, 5 published objects, 6 the platform, 7 peers, 8 settings and files, 9 the program itself.
The status is the HTTP status of answers to callers, given for codes that callers can receive.
Whether a request ran does not depend on the code: each refusal has a field `ran` that states it.

| number | name | status | text |
| --- | --- | --- | --- |
"""


def table_row(code: Code) -> str:
    """Return the table row of `code`."""
    is_sent_to_callers = code < FIRST_CODE_NOT_SENT_TO_CALLERS or code is Code.INTERNAL
    status = str(http_status_of(code).value) if is_sent_to_callers else ""
    return f"| {code.value} | {code.name} | {status} | {TEXT_BY_CODE[code]} |\n"


def page() -> str:
    """Return the text of the page."""
    return INTRODUCTION + "".join(table_row(code) for code in sorted(Code))


if __name__ == "__main__":
    PAGE.write_text(page())
