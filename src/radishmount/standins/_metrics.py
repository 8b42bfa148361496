"""Reads the metrics of instances that run as separate processes, as an operator would."""

import re
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp


__all__ = ["EntryUsage", "read_usage"]

CPU_SECONDS_PATTERN = re.compile(r"^radishmount_process_cpu_seconds(?:\{\})? (\S+)$", re.MULTILINE)
CONTROL_BYTES_PATTERN = re.compile(
    r"^radishmount_control_bytes_total\{[^}]*\} (\S+)$", re.MULTILINE
)
READ_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class EntryUsage:
    """What the instances that replied have used since their start, summed over them."""

    entries: int
    cpu_s: float
    control_bytes: float


async def read_usage(operator_addresses: Sequence[str]) -> EntryUsage:
    """Return the summed metrics of all instances that reply; the others are left out."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    entries, cpu_s, control_bytes = 0, 0.0, 0.0
    async with aiohttp.ClientSession(timeout=timeout) as http:
        for address in operator_addresses:
            try:
                async with http.get(f"http://{address}/metrics") as response:
                    text = await response.text()
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
            entries += 1
            cpu_s += sum(float(value) for value in CPU_SECONDS_PATTERN.findall(text))
            control_bytes += sum(float(value) for value in CONTROL_BYTES_PATTERN.findall(text))
    return EntryUsage(entries, cpu_s, control_bytes)
