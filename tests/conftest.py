"""Fixtures that many tests share."""

from collections.abc import AsyncIterator

import pytest

from support import Session, start_session


@pytest.fixture
async def session() -> AsyncIterator[Session]:
    """One entry, its platform and its endpoints, over loopback."""
    running = await start_session()
    yield running
    await running.stop()
