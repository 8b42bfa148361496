"""Which version of a publication may replace which."""

import pytest

from radishmount.codes import Code
from radishmount.publication import Publication


class TestMayReplace:
    """Only a higher version replaces the active one."""

    def test_a_higher_version_may(self) -> None:
        assert Publication(2, "b").may_replace(Publication(1, "a")).is_ok()

    def test_the_same_version_with_the_same_digest_may(self) -> None:
        assert Publication(1, "a").may_replace(Publication(1, "a")).is_ok()

    @pytest.mark.parametrize(
        ("version", "digest", "code"),
        [(1, "a", Code.VERSION_NOT_GROWING), (2, "c", Code.DIGEST_CONFLICT)],
    )
    def test_a_lower_version_or_another_digest_may_not(
        self, version: int, digest: str, code: Code
    ) -> None:
        refused = Publication(version, digest).may_replace(Publication(2, "b"))

        assert refused.unwrap_err().code is code
