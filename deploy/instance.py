"""Starts one instance from a checkout of the repository, without installing the package."""

import gc
import signal
import sys
from pathlib import Path


gc.disable()  # objects made by imports stay in use; the program enables collection again
# Until the program installs its own signal handlers, a reload (SIGHUP) is ignored, as the settings
# are still to be read, and a stop (SIGTERM) exits at once, as nothing is served yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from radishmount.platform import main  # noqa: E402


main()
