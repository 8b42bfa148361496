"""The instances of a run: the real program, one process each, started and signalled from here."""

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
GRACE_S = 6.0
RESTART_S = 0.2
LOOK_S = 2.0
# Each soak has loopback addresses of its own, by its process id, so that several run at once.
FIRST_NETWORK = 16
NETWORKS = 200
TERM_EXITS = frozenset({0})
KILLED = -signal.SIGKILL
BAD_SETTINGS_EXIT = 2


@dataclass(slots=True, eq=False)
class SoakInstance:
    """One instance: its settings, its process, and the links of callers and of the store."""

    name: str
    ip: str
    folder: Path
    store_link: Relay
    caller_link: Relay | None = None
    directory_link: Relay | None = None
    process: asyncio.subprocess.Process | None = None
    expected_exits: set[int] = field(default_factory=set)
    seeds: tuple[str, ...] = ()
    slack: int = 50
    has_bad_settings: bool = False

    @property
    def settings_path(self) -> Path:
        """Return where its settings are."""
        return self.folder / f"{self.name}.toml"

    def spoil_settings(self) -> None:
        """Write what no program can read; one that is being started may meet it."""
        self.has_bad_settings = True
        self.expected_exits.add(BAD_SETTINGS_EXIT)
        self.settings_path.write_text("nodeName = 3 = 4")

    def write_settings(self) -> None:
        """Write the settings as the platform would."""
        self.has_bad_settings = False
        listen = "\n".join(f'{name} = "{self.ip}:{port}"' for name, port in PORTS.items())
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        text = (
            f'nodeName = "{self.name}"\nip = "{self.ip}"\nzone = "z1"\nregion = "r1"\n'
            f"seeds = [{seeds}]\n[listen]\n{listen}\n[bounds]\ngraceS = {GRACE_S:.0f}\n"
            f"retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = {self.slack}\n"
            f'ttl_max_s = 5\n[platform]\naddress = "{self.store_link.address}"\n'
        )
        self.settings_path.write_text(text)


@dataclass(slots=True)
class Fleet:
    """The instances by name. Only processes that were started here are ever signalled."""

    records: Records
    by_name: dict[str, SoakInstance] = field(default_factory=dict)
    keepers: list[asyncio.Task[None]] = field(default_factory=list)
    ending: bool = False

    def start(self) -> None:
        """Start every instance, and start it again whenever it has ended."""
        for instance in self.by_name.values():
            self.keepers.append(asyncio.create_task(self._keep(instance)))

    def signal(self, instance: SoakInstance, number: int, exits: set[int] | None = None) -> None:
        """Send a signal; `exits` are the statuses with which the process may end for it."""
        if exits is not None:
            instance.expected_exits |= exits
        if instance.process is not None and instance.process.returncode is None:
            instance.process.send_signal(number)

    async def stop(self) -> list[str]:
        """Stop every instance gracefully; return those that did not end in their time."""
        self.ending = True
        late = []
        for instance in self.by_name.values():
            self.signal(instance, signal.SIGCONT)
            self.signal(instance, signal.SIGTERM, set(TERM_EXITS))
        for task, instance in zip(self.keepers, self.by_name.values(), strict=True):
            try:
                async with asyncio.timeout(GRACE_S):
                    await task
            except TimeoutError:
                late.append(f"{instance.name} runs on {GRACE_S:.0f} s after SIGTERM")
                self.signal(instance, signal.SIGKILL, {KILLED})
        for instance in self.by_name.values():
            for link in (instance.store_link, instance.caller_link, instance.directory_link):
                if link is not None:
                    await link.stop()
        return late

    async def look(self) -> None:
        """Note how many instances each one knows."""
        async with aiohttp.ClientSession() as session:
            for instance in self.by_name.values():
                url = f"http://{instance.ip}:{METRICS_PORT}/status"
                try:
                    async with session.get(url, timeout=aiohttp.ClientTimeout(LOOK_S)) as response:
                        status = await response.json()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    status = {"instances": []}  # counts as one that knows nobody
                self.records.known_by_instance[instance.name] = len(status["instances"])

    async def _keep(self, instance: SoakInstance) -> None:
        while not self.ending:
            # One that is started with settings that cannot be read says so and ends.
            instance.expected_exits = {BAD_SETTINGS_EXIT} if instance.has_bad_settings else set()
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
            starts = self.records.starts_at_s_by_instance.setdefault(instance.name, [])
            starts.append(asyncio.get_running_loop().time())
            status = await instance.process.wait()
            if status not in instance.expected_exits:
                self.records.own_exits.append(f"{instance.name} ended with {status}")
            await asyncio.sleep(RESTART_S)


async def start_fleet(count: int, folder: Path, store: str, records: Records) -> Fleet:
    """Return `count` instances whose settings are written, not started yet."""
    fleet = Fleet(records)
    network = f"{FIRST_NETWORK + os.getpid() // 256 % NETWORKS}.{os.getpid() % 256}"
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
