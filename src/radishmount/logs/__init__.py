"""Logs: lines at a limited rate, written without blocking on the reader."""

from radishmount.logs._output import LogOutput, open_standard_output
from radishmount.logs._rate_limiter import LineRateLimiter
from radishmount.logs._request_log import Emit, RequestLog


__all__ = ["Emit", "LineRateLimiter", "LogOutput", "RequestLog", "open_standard_output"]
