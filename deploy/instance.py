"""Starts one instance from a checkout, whose sources are not installed on the machine."""

import sys
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishmount.platform import main  # noqa: E402


main()
