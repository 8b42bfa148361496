"""Tests of settings that are reloaded while an instance runs."""

from collections.abc import AsyncIterator
from dataclasses import replace

import pytest

from platform_harness import PlatformHarness, settings_for, start_platform_harness
from radishmount.forwarding import RetryBudgetSettings


@pytest.fixture
async def harness() -> AsyncIterator[PlatformHarness]:
    """Yield an instance that has no configuration yet."""
    started = await start_platform_harness()
    yield started
    await started.stop()


class TestApplySettings:
    """Which settings take effect at once."""

    async def test_seeds_and_the_retry_budget_take_effect(self, harness: PlatformHarness) -> None:
        settings = settings_for("127.0.0.1:1")
        budget = harness.instance.gateway.forward_context.retry_budget
        before = budget.balance("orders", 0.0)
        changed = replace(
            settings, seeds=("127.0.0.1:8",), retry_budget_settings=RetryBudgetSettings(0.1, 7.0)
        )

        harness.instance.apply_settings(changed)

        assert harness.instance.gateway.control.roster.seeds == ("127.0.0.1:8",)
        assert budget.settings == RetryBudgetSettings(0.1, 7.0)
        assert budget.balance("orders", 0.0) == pytest.approx(
            before * 7.0 / settings.retry_budget_settings.slack
        )
