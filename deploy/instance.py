"""Starts one instance from a checkout, whose sources are not installed on the machine."""

import gc
import sys
from pathlib import Path


gc.disable()  # nothing that is made while importing is garbage; the program enables it again
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishmount.platform import main  # noqa: E402


main()
