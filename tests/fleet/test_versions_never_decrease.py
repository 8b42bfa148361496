"""Tests that no sequence of faults makes an instance go back to an older configuration."""

import asyncio
from dataclasses import dataclass, field

import looptime
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fakes import FakePlatform
from fleet_harness import FleetHarness, make_fleet_harness


NAMES = ("entry-a", "entry-b", "entry-c", "entry-d")
CENTRES = ("milano", "torino")
SETTLING_S = 60.0


@dataclass
class Published:
    """The highest version that was published, and the digests of each version."""

    highest: int = 1
    digests_by_version: dict[int, set[str]] = field(default_factory=dict)


class ConfigurationMachine(RuleBasedStateMachine):
    """Four instances and two platforms that may lag, serve old or invalid bundles, or be down.

    The fleet is partitioned, and instances pause and restart.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0)
        self.published = Published()
        self.platforms: list[FakePlatform] = []
        self.served_version_by_name: dict[str, int] = dict.fromkeys(NAMES, 0)
        self.harness = self.run(self.begin())

    def run(self, work):  # type: ignore[no-untyped-def]
        return self.loop.run_until_complete(work)

    async def begin(self) -> FleetHarness:
        harness = make_fleet_harness()
        self.platforms = [FakePlatform(), FakePlatform()]
        for number, name in enumerate(NAMES):
            harness.start(name, CENTRES[number % 2], self.platforms[number % 2])
        for platform in self.platforms:
            platform.publish_bundle(1, b"1 digest-1")
        harness.publish_instances(*self.platforms)
        await asyncio.sleep(3.0)
        return harness

    @rule(number=st.integers(0, 1))
    def publish(self, number: int) -> None:
        """Publish the next version at one platform only."""
        self.published.highest += 1
        version = self.published.highest
        self.platforms[number].publish_bundle(version, f"{version} digest-{version}".encode())

    @rule(number=st.integers(0, 1))
    def catch_up(self, number: int) -> None:
        """Copy to a platform what the other one holds, newer or older."""
        other = self.platforms[1 - number]
        self.platforms[number].publish_bundle(other.version, other.body)

    @rule(number=st.integers(0, 1), older=st.integers(1, 3))
    def serve_old_bundle(self, number: int, older: int) -> None:
        """Let a platform serve an old bundle under a new version."""
        version = max(1, self.published.highest - older)
        body = f"{version} digest-{version}".encode()
        self.platforms[number].publish_bundle(self.published.highest + 1, body)

    @rule(number=st.integers(0, 1))
    def serve_invalid_bundle(self, number: int) -> None:
        """Let a platform serve an invalid bundle."""
        self.platforms[number].publish_bundle(self.published.highest + 1, b"rubbish")

    @rule(number=st.integers(0, 1), down=st.booleans())
    def set_platform_down(self, number: int, down: bool) -> None:
        """Take a platform down or bring it back."""
        self.platforms[number].down = down
        self.platforms[number].publish_instances(self.platforms[number].instances)

    @rule(cut=st.integers(1, 3))
    def split(self, cut: int) -> None:
        """Partition the fleet in two."""
        self.harness.network.split(NAMES[:cut], NAMES[cut:])

    @rule()
    def heal(self) -> None:
        """End a partition."""
        self.harness.network.heal()

    @rule(name=st.sampled_from(NAMES), number=st.integers(0, 1))
    @precondition(lambda self: not self.harness.network.side_by_name)
    def restart(self, name: str, number: int) -> None:
        """Replace an instance by one that reads either platform and can reach its peers."""

        async def replace() -> None:
            highest = max(self.harness.versions_in_force().values())
            await self.harness.kill(name)
            others = [
                version
                for other, version in self.harness.versions_in_force().items()
                if other != name
            ]
            control_plane = self.harness.start(
                name, CENTRES[NAMES.index(name) % 2], self.platforms[number], seeds=SEEDS
            )
            self.served_version_by_name[name] = min(highest, max(others))
            await asyncio.sleep(8.0)
            assert control_plane.has_started

        self.run(replace())

    @rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 6))
    def pause(self, name: str, seconds: int) -> None:
        """Pause an instance."""
        self.run(self.harness.pause(name, float(seconds)))

    @rule(seconds=st.integers(1, 30))
    def wait(self, seconds: int) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(float(seconds)))

    @invariant()
    def versions_never_decrease(self) -> None:
        """Compare the version of each instance with its previous one, across restarts too."""
        for versions in self.harness.applied_versions_by_start.values():
            assert versions == sorted(set(versions))
        for name, control_plane in self.harness.control_planes_by_name.items():
            if not control_plane.has_started:
                continue
            version = control_plane.active_publication.current.version
            assert version >= self.served_version_by_name[name]
            self.served_version_by_name[name] = version

    def teardown(self) -> None:
        """End all faults, and check that the highest version comes into force everywhere."""

        async def settle() -> None:
            self.harness.network.heal()
            self.published.highest += 1
            version = self.published.highest
            for platform in self.platforms:
                platform.down = False
                platform.publish_bundle(version + 1, f"{version} digest-{version}".encode())
            await asyncio.sleep(SETTLING_S)
            versions = set(self.harness.versions_in_force().values())
            await self.harness.stop()
            assert versions == {version}

        try:
            self.run(settle())
        finally:
            self.loop.close()


SEEDS = tuple(f"{name}:2" for name in NAMES)

TestVersionsNeverDecrease = ConfigurationMachine.TestCase
TestVersionsNeverDecrease.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
