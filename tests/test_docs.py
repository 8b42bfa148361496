"""The files, metrics and fields of published objects that the pages name exist."""

import re
from pathlib import Path

from radishmount.border._object_models import OBJECT_ADAPTER


ROOT = Path(__file__).parents[1]
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").rglob("*.md"))]
FOLDERS = "deploy|docs|src|tests|examples|benchmarks|scripts|changelog.d"
PATH = re.compile(rf"(?<![\w/.])(?:{FOLDERS})/[\w./-]*[\w/]")
COUNTER = re.compile(r"radishmount_(\w+)_total")
COUNTED = re.compile(r'counters\.add\(\s*"(\w+)"')
MAX_README_LINES = 100


def source_text() -> str:
    return "\n".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))


class TestPages:
    """Paths and names in the pages match the code."""

    def test_every_path_exists(self) -> None:
        missing = [
            f"{page.relative_to(ROOT)}: {path}"
            for page in PAGES
            for path in PATH.findall(page.read_text())
            if not (ROOT / path).exists()
        ]

        assert missing == []

    def test_every_counter_is_counted(self) -> None:
        counters_in_code = set(COUNTED.findall(source_text()))
        counters_in_pages = {name for page in PAGES for name in COUNTER.findall(page.read_text())}

        assert counters_in_pages - counters_in_code == set()

    def test_every_field_of_published_objects_is_described(self) -> None:
        page = (ROOT / "docs" / "operators" / "publishing.md").read_text()
        definitions = OBJECT_ADAPTER.json_schema()["$defs"]
        fields = {name for model in definitions.values() for name in model["properties"]}

        assert {name for name in fields if f"`{name}`" not in page and name not in page} == set()

    def test_the_readme_is_at_most_two_screens(self) -> None:
        assert len((ROOT / "README.md").read_text().splitlines()) <= MAX_README_LINES
