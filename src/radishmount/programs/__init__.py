"""The console scripts and the code that they share: the application, exit codes and logging."""

from radishmount.programs._application import Exit, print_line, run_program, tell_error
from radishmount.programs._logging import audit_log, log_line, log_state_change, set_up_logging


__all__ = [
    "Exit",
    "audit_log",
    "log_line",
    "log_state_change",
    "print_line",
    "run_program",
    "set_up_logging",
    "tell_error",
]
