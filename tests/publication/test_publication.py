"""Which version may take the place of which."""

import pytest

from radishmount.codes import Code
from radishmount.publication import Publication


class TestMayFollow:
    """A version in force is followed by higher ones only."""

    def test_a_higher_version(self) -> None:
        assert Publication(2, "b").may_follow(Publication(1, "a")).is_ok()

    def test_the_same_version_again(self) -> None:
        assert Publication(1, "a").may_follow(Publication(1, "a")).is_ok()

    @pytest.mark.parametrize(
        ("version", "digest", "code"),
        [(1, "a", Code.VERSION_NOT_GROWING), (2, "c", Code.DIGEST_CONFLICT)],
    )
    def test_refuses(self, version: int, digest: str, code: Code) -> None:
        refused = Publication(version, digest).may_follow(Publication(2, "b"))

        assert refused.unwrap_err().code is code
