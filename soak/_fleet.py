"""The instances of a run: the real program, with one process for each instance."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from radishmount.standins import Relay, start_relay
from soak._records import Records


__all__ = ["Fleet", "SoakInstance", "start_fleet"]

ROOT = Path(__file__).resolve().parent.parent
PORTS = {"front": 8226, "ready": 8227, "control": 8224, "directory": 8225}
METRICS_PORT = 9464
GRACE_PERIOD_S = 6.0
RESTART_DELAY_S = 0.2
STATUS_TIMEOUT_S = 2.0
# The process id selects the loopback addresses, so that several soaks can run at once.
LOWEST_SECOND_OCTET = 16
SECOND_OCTETS = 200
TERM_EXITS = frozenset({0})
SIGKILL_EXIT = -signal.SIGKILL
BAD_SETTINGS_EXIT = 2


@dataclass(slots=True, eq=False)
class SoakInstance:
    """One instance: its settings, its process, and the relays of its callers and of the store.

    `expected_exits` are the exit statuses that the running process may end with.
    """

    name: str
    ip: str
    folder: Path
    store_link: Relay
    caller_link: Relay | None = None
    directory_link: Relay | None = None
    process: asyncio.subprocess.Process | None = None
    expected_exits: set[int] = field(default_factory=set)
    seeds: tuple[str, ...] = ()
    retry_budget_slack: int = 50
    has_invalid_settings: bool = False

    @property
    def settings_path(self) -> Path:
        """Return the path of its settings file."""
        return self.folder / f"{self.name}.toml"

    def write_invalid_settings(self) -> None:
        """Write settings that cannot be parsed. A process that starts now exits because of them."""
        self.has_invalid_settings = True
        self.expected_exits.add(BAD_SETTINGS_EXIT)
        self.settings_path.write_text("nodeName = 3 = 4")

    def write_settings(self) -> None:
        """Write valid settings, as the platform would."""
        self.has_invalid_settings = False
        listen = "\n".join(f'{name} = "{self.ip}:{port}"' for name, port in PORTS.items())
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        text = (
            f'nodeName = "{self.name}"\nip = "{self.ip}"\nzone = "z1"\nregion = "r1"\n'
            f"seeds = [{seeds}]\n[listen]\n{listen}\n[bounds]\ngraceS = {GRACE_PERIOD_S:.0f}\n"
            f"retryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
            f"retryBudgetSlack = {self.retry_budget_slack}\n"
            f'ttl_max_s = 5\n[platform]\naddress = "{self.store_link.address}"\n'
        )
        self.settings_path.write_text(text)


@dataclass(slots=True)
class Fleet:
    """The instances by name. It sends signals only to processes that it started itself."""

    records: Records
    by_name: dict[str, SoakInstance] = field(default_factory=dict)
    supervisors: list[asyncio.Task[None]] = field(default_factory=list)
    is_stopping: bool = False

    def start(self) -> None:
        """Start every instance, and restart it whenever it exits."""
        for instance in self.by_name.values():
            self.supervisors.append(asyncio.create_task(self._supervise(instance)))

    def signal(
        self, instance: SoakInstance, signal_number: int, allowed_exits: set[int] | None = None
    ) -> None:
        """Send a signal. The process may then end with one of the exit statuses `allowed_exits`."""
        if allowed_exits is not None:
            instance.expected_exits |= allowed_exits
        if instance.process is not None and instance.process.returncode is None:
            instance.process.send_signal(signal_number)

    async def stop(self) -> list[str]:
        """Stop every instance gracefully; return a text for each that did not exit in time."""
        self.is_stopping = True
        overdue = []
        for instance in self.by_name.values():
            self.signal(instance, signal.SIGCONT)
            self.signal(instance, signal.SIGTERM, set(TERM_EXITS))
        for task, instance in zip(self.supervisors, self.by_name.values(), strict=True):
            try:
                async with asyncio.timeout(GRACE_PERIOD_S):
                    await task
            except TimeoutError:
                overdue.append(f"{instance.name} still runs {GRACE_PERIOD_S:.0f} s after SIGTERM")
                self.signal(instance, signal.SIGKILL, {SIGKILL_EXIT})
        for instance in self.by_name.values():
            for link in (instance.store_link, instance.caller_link, instance.directory_link):
                if link is not None:
                    await link.stop()
        return overdue

    async def record_known_counts(self) -> None:
        """Record how many instances each instance knows."""
        async with aiohttp.ClientSession() as session:
            for instance in self.by_name.values():
                url = f"http://{instance.ip}:{METRICS_PORT}/status"
                try:
                    async with session.get(
                        url, timeout=aiohttp.ClientTimeout(STATUS_TIMEOUT_S)
                    ) as response:
                        status = await response.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    status = {"instances": []}  # counts as knowing no instance
                self.records.known_count_by_instance[instance.name] = len(status["instances"])

    async def _supervise(self, instance: SoakInstance) -> None:
        while not self.is_stopping:
            # A process that is started with invalid settings reports them and exits.
            instance.expected_exits = (
                {BAD_SETTINGS_EXIT} if instance.has_invalid_settings else set()
            )
            log = (instance.folder / f"{instance.name}.log").open("ab")
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/instance.py",
                "--metrics-port",
                str(METRICS_PORT),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={"RADISHMOUNT_BOOT": str(instance.settings_path), "PATH": os.environ["PATH"]},
            )
            log.close()
            starts = self.records.start_times_s_by_instance.setdefault(instance.name, [])
            starts.append(asyncio.get_running_loop().time())
            status = await instance.process.wait()
            if status not in instance.expected_exits:
                self.records.unexpected_exits.append(f"{instance.name} exited with status {status}")
            await asyncio.sleep(RESTART_DELAY_S)


async def start_fleet(count: int, folder: Path, store: str, records: Records) -> Fleet:
    """Return `count` instances that have their settings but are not started yet."""
    fleet = Fleet(records)
    network = f"{LOWEST_SECOND_OCTET + os.getpid() // 256 % SECOND_OCTETS}.{os.getpid() % 256}"
    for number in range(1, count + 1):
        ip = f"127.{network}.{number}"
        store_link = await start_relay(store, lambda: 0.0)
        instance = SoakInstance(f"front-{number}", ip, folder, store_link)
        instance.caller_link = await start_relay(f"{ip}:{PORTS['front']}", lambda: 0.0)
        instance.directory_link = await start_relay(f"{ip}:{PORTS['directory']}", lambda: 0.0)
        fleet.by_name[instance.name] = instance
    seeds = tuple(f"{i.ip}:{PORTS['control']}" for i in list(fleet.by_name.values())[:3])
    for instance in fleet.by_name.values():
        instance.seeds = seeds
        instance.write_settings()
    return fleet
