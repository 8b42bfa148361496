"""No interleaving of faults takes the configuration of an instance back."""

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
    """What was ever published: the highest version, and the digest that it has everywhere."""

    highest: int = 1
    digests_by_version: dict[int, set[str]] = field(default_factory=dict)


class ConfigurationMachine(RuleBasedStateMachine):
    """Four instances, two platforms that may lag, lie or be down, splits, pauses and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(start=0.0)
        self.published = Published()
        self.platforms: list[FakePlatform] = []
        self.served_by_name: dict[str, int] = dict.fromkeys(NAMES, 0)
        self.world = self.run(self.begin())

    def run(self, work):  # type: ignore[no-untyped-def]
        return self.loop.run_until_complete(work)

    async def begin(self) -> FleetHarness:
        world = make_fleet_harness()
        self.platforms = [FakePlatform(), FakePlatform()]
        for number, name in enumerate(NAMES):
            world.start(name, CENTRES[number % 2], self.platforms[number % 2])
        for platform in self.platforms:
            platform.publish_bundle(1, b"1 digest-1")
        world.list_all(*self.platforms)
        await asyncio.sleep(3.0)
        return world

    @rule(number=st.integers(0, 1))
    def publish(self, number: int) -> None:
        """Publish the next version, at one platform; the other lags."""
        self.published.highest += 1
        version = self.published.highest
        self.platforms[number].publish_bundle(version, f"{version} digest-{version}".encode())

    @rule(number=st.integers(0, 1))
    def catch_up(self, number: int) -> None:
        """Let a platform that lags have what the other holds, newer or older."""
        other = self.platforms[1 - number]
        self.platforms[number].publish_bundle(other.version, other.body)

    @rule(number=st.integers(0, 1), older=st.integers(1, 3))
    def lie(self, number: int, older: int) -> None:
        """Have a platform answer an old bundle under a new number."""
        version = max(1, self.published.highest - older)
        body = f"{version} digest-{version}".encode()
        self.platforms[number].publish_bundle(self.published.highest + 1, body)

    @rule(number=st.integers(0, 1))
    def spoil(self, number: int) -> None:
        """Have a platform answer rubbish."""
        self.platforms[number].publish_bundle(self.published.highest + 1, b"rubbish")

    @rule(number=st.integers(0, 1), down=st.booleans())
    def turn(self, number: int, down: bool) -> None:
        """Turn a platform off or on."""
        self.platforms[number].down = down
        self.platforms[number].publish_instances(self.platforms[number].instances)

    @rule(cut=st.integers(1, 3))
    def split(self, cut: int) -> None:
        """Split the fleet in two."""
        self.world.network.split(NAMES[:cut], NAMES[cut:])

    @rule()
    def heal(self) -> None:
        """End a split."""
        self.world.network.heal()

    @rule(name=st.sampled_from(NAMES), number=st.integers(0, 1))
    @precondition(lambda self: not self.world.network.side_by_name)
    def restart(self, name: str, number: int) -> None:
        """Replace an instance, which then reads either platform and reaches its peers."""

        async def replace() -> None:
            holds = max(self.world.versions().values())
            await self.world.kill(name)
            others = [version for other, version in self.world.versions().items() if other != name]
            control = self.world.start(
                name, CENTRES[NAMES.index(name) % 2], self.platforms[number], seeds=SEEDS
            )
            self.served_by_name[name] = min(holds, max(others))
            await asyncio.sleep(8.0)
            assert control.has_started

        self.run(replace())

    @rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 6))
    def pause(self, name: str, seconds: int) -> None:
        """Have an instance stand still."""
        self.run(self.world.pause(name, float(seconds)))

    @rule(seconds=st.integers(1, 30))
    def wait(self, seconds: int) -> None:
        """Let time pass."""
        self.run(asyncio.sleep(float(seconds)))

    @invariant()
    def nobody_goes_back(self) -> None:
        """Compare what each instance serves with what it served before, over restarts too."""
        for versions in self.world.versions_seen_by_name.values():
            assert versions == sorted(set(versions))
        for name, control in self.world.controls_by_name.items():
            if not control.has_started:
                continue
            version = control.active_publication.current.version
            assert version >= self.served_by_name[name]
            self.served_by_name[name] = version

    def teardown(self) -> None:
        """Heal everything: the highest version is then in force everywhere."""

        async def settle() -> None:
            self.world.network.heal()
            self.published.highest += 1
            version = self.published.highest
            for platform in self.platforms:
                platform.down = False
                platform.publish_bundle(version + 1, f"{version} digest-{version}".encode())
            await asyncio.sleep(SETTLING_S)
            versions = set(self.world.versions().values())
            await self.world.stop()
            assert versions == {version}

        try:
            self.run(settle())
        finally:
            self.loop.close()


SEEDS = tuple(f"{name}:2" for name in NAMES)

TestNoWayBack = ConfigurationMachine.TestCase
TestNoWayBack.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
