"""Starts one instance from a checkout, whose sources are not installed on the machine."""

import gc
import signal
import sys
from pathlib import Path


gc.disable()  # nothing that is made while importing is garbage; the program enables it again
# Until the program handles signals itself: settings are read later anyway, and nothing is served yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishmount.platform import main  # noqa: E402


main()
