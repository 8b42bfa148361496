"""The console scripts and the code that they share: the application, exit codes and logging."""

from radishmount.programs._application import Exit, print_error_line, print_line, run_program
from radishmount.programs._logging import log_audit_line, log_line, log_state_change, set_up_logging


__all__ = [
    "Exit",
    "log_audit_line",
    "log_line",
    "log_state_change",
    "print_line",
    "run_program",
    "set_up_logging",
    "print_error_line",
]
