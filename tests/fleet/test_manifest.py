"""Tests of bundles that are longer than one value of the platform."""

import asyncio
import json
from random import Random

import pytest
from result import Ok

from radishmount.border import BUNDLE_KEY, MAX_VALUE_BYTES, HttpPlatformClient, split_bundle
from radishmount.codes import Code
from radishmount.counters import Counters
from radishmount.standins import PlatformStandIn, serve_stand_in


BODY = Random(1).randbytes(2_500_000).hex().encode()


class TestSplitBundle:
    """A long bundle is split into pieces under a manifest, which is published last."""

    def test_a_short_bundle_stays_whole(self) -> None:
        assert split_bundle(1, b"short") == {BUNDLE_KEY: b"short"}

    def test_every_value_fits_and_the_manifest_is_last(self) -> None:
        values = split_bundle(7, BODY)

        assert list(values)[-1] == BUNDLE_KEY
        assert all(len(value) <= MAX_VALUE_BYTES for value in values.values())
        assert b"".join(list(values.values())[:-1]) == BODY


class TestManifestAtThePlatform:
    """The pieces are read and joined, or the whole bundle is refused."""

    async def read(self, platform: PlatformStandIn, after: int = 0):  # type: ignore[no-untyped-def]
        server = await serve_stand_in(platform.app())
        client = HttpPlatformClient(str(server.address), Counters())
        try:
            return await client.bundle(after, 0)
        finally:
            await client.close()
            await server.stop()

    async def test_pieces_are_joined(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, BODY)

        assert await self.read(platform) == Ok(BODY)
        assert platform.reads == 1 + 5

    async def test_a_missing_piece_counts_as_an_outage_of_the_platform(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, BODY)
        del platform.pieces_by_key[f"{BUNDLE_KEY}/3/1"]

        assert (await self.read(platform)).unwrap_err().code is Code.PLATFORM_DOWN

    async def test_a_bundle_with_a_changed_piece_is_refused(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, BODY)
        key = f"{BUNDLE_KEY}/3/1"
        platform.pieces_by_key[key] = platform.pieces_by_key[key][::-1]

        assert (await self.read(platform)).unwrap_err().code is Code.PLATFORM_RUBBISH

    @pytest.mark.parametrize("field", ["version", "total_bytes", "sha256", "pieces"])
    async def test_a_broken_manifest_is_refused(self, field: str) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, BODY)
        content = json.loads(platform.bundle)
        content["manifest"][field] = None
        platform.bundle = json.dumps(content, separators=(",", ":")).encode()

        assert (await self.read(platform)).unwrap_err().code is Code.PLATFORM_RUBBISH

    async def test_the_pieces_of_an_older_manifest_are_not_read(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, BODY)
        platform.bundle_version = 9

        assert (await self.read(platform, after=5)).unwrap_err().code is Code.PLATFORM_WENT_BACK
        assert platform.reads == 1

    async def test_a_value_above_the_limit_is_not_read_to_its_end(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(3, b"x")
        platform.bundle = b"x" * (MAX_VALUE_BYTES + 1)

        assert (await self.read(platform)).unwrap_err().code is Code.PLATFORM_RUBBISH

    async def test_bytes_of_the_connections_are_counted(self) -> None:
        platform = PlatformStandIn()
        await platform.publish(1, b"x" * 1000)
        server = await serve_stand_in(platform.app())
        counters = Counters()
        client = HttpPlatformClient(str(server.address), counters)
        await asyncio.gather(client.bundle(0, 0), client.instance_list(0, 0))
        await client.close()
        await server.stop()

        assert counters.value("control_bytes", "platform in") > 1000
        assert counters.value("control_bytes", "platform out") > 100
