"""The console scripts, and what all of them share."""

from radishmount.programs._application import Exit, run_program, tell, tell_error
from radishmount.programs._logging import audit_log, log_line, log_state_change, set_up_logging


__all__ = [
    "Exit",
    "audit_log",
    "log_line",
    "log_state_change",
    "run_program",
    "set_up_logging",
    "tell",
    "tell_error",
]
