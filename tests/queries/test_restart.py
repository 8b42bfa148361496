"""Tests of the decision to start a fan-out again on another index version."""

from types import SimpleNamespace
from typing import Any

import pytest

from radishmount.queries._fan_out import FanOut


class ProgressOf:
    """The progress of a shard for which no endpoint can be chosen."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.tried_endpoints: set[str] = set()
        self.is_unavailable = False
        self.next_action_at_ms = 0.0

    def next_backoff_ms(self) -> float:
        return 10.0


class TestRestart:
    """One shard that cannot answer the version decides, whatever the other shards can do."""

    def test_a_shard_that_only_waits_does_not_take_the_restart_back(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Outcomes of several shards are handled before the decision is looked at."""
        context: Any = SimpleNamespace(clock=SimpleNamespace(now_ms=lambda: 100.0))
        fan_out = FanOut(None, None, context, lambda: None)  # type: ignore[arg-type]
        monkeypatch.setattr(FanOut, "_choose_endpoint", lambda self, progress, now_ms: None)
        monkeypatch.setattr(
            FanOut, "_has_usable_replica", lambda self, progress, now_ms: progress.name == "waits"
        )
        monkeypatch.setattr(FanOut, "_can_restart", lambda self, progress, now_ms: True)

        fan_out._send(ProgressOf("lost"))  # type: ignore[arg-type]
        fan_out._send(ProgressOf("waits"))  # type: ignore[arg-type]

        assert fan_out.must_restart
