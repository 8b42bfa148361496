"""Which packages may use HTTP, codecs and the names of the users' platform."""

import ast
import re
from pathlib import Path

import radishmount


ROOT = Path(radishmount.__file__).parent
BORDER_ONLY_PACKAGES = {"aiohttp", "msgpack", "pydantic", "orjson", "pyjson5", "aioprometheus"}
BORDER_FOLDERS = {"border", "standins", "platform"}
PLATFORM_WORDS = re.compile(
    r"Radishmount-|/-/|op/config|servers/|shardServices|routeType|minPartShare|coldLeftMs|RADISHMOUNT_"
)
PLATFORM_FOLDERS = {"standins", "platform"}


def imported_by(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


class TestImports:
    """Decisions stay independent of encodings, and of the platform behind its adapter."""

    def test_only_the_border_imports_codecs(self) -> None:
        offenders = []
        for path in ROOT.rglob("*.py"):
            if path.relative_to(ROOT).parts[0] in BORDER_FOLDERS:
                continue
            offenders.extend((path.name, name) for name in imported_by(path) & BORDER_ONLY_PACKAGES)

        assert offenders == []

    def test_only_the_adapter_and_the_stand_ins_use_names_of_the_platform(self) -> None:
        offenders = []
        for path in ROOT.rglob("*.py"):
            if path.relative_to(ROOT).parts[0] in PLATFORM_FOLDERS:
                continue
            offenders.extend((path.name, word) for word in PLATFORM_WORDS.findall(path.read_text()))

        assert offenders == []

    def test_nothing_imports_the_platform_adapter(self) -> None:
        offenders = []
        for path in ROOT.rglob("*.py"):
            if path.relative_to(ROOT).parts[0] == "platform":
                continue
            if "radishmount.platform" in path.read_text():
                offenders.append(path.name)

        assert offenders == []
