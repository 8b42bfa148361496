"""When the owner of a key may be certain of it."""

import pytest

from radishmount.orders import KeyAgreement
from radishmount.orders._ownership import KeyOwnership, may_run_key, owner_of


OLD = KeyAgreement(agrees=True, is_old=True)
YOUNG = KeyAgreement(agrees=True, is_old=False)
AGAINST = KeyAgreement(agrees=False, is_old=True)
OTHERS = ("b", "c", "d")
LIFETIME_MS = 1_000.0


class TestMayRunKey:
    """Every listed instance must agree, and two thirds of them must be old."""

    @pytest.mark.parametrize(
        ("own", "answers", "allowed"),
        [
            (OLD, (OLD, OLD, OLD), True),
            (OLD, (OLD, OLD, YOUNG), True),
            (OLD, (OLD, YOUNG, YOUNG), False),
            (OLD, (OLD, OLD, AGAINST), False),
            (OLD, (OLD, OLD, None), False),
            (YOUNG, (OLD, OLD, OLD), False),
            (AGAINST, (OLD, OLD, OLD), False),
        ],
    )
    def test_needs_all(
        self, own: KeyAgreement, answers: tuple[KeyAgreement | None, ...], allowed: bool
    ) -> None:
        by_name = {
            name: answer for name, answer in zip(OTHERS, answers, strict=True) if answer is not None
        }

        assert may_run_key(own, OTHERS, by_name) is allowed

    def test_an_instance_alone_on_its_list_may(self) -> None:
        assert may_run_key(OLD, (), {})


class TestKeyOwnership:
    """What an instance remembers of the lists that it held."""

    def test_agrees_again_a_lifetime_after_the_owner_changed(self) -> None:
        before, after = ("a", "b"), ("b", "c")
        ownership = KeyOwnership("b", 1, LIFETIME_MS)
        ownership.take_list(before, 0.0)
        ownership.take_list(after, 100.0)
        key = next(f"k{n}" for n in range(99) if owner_of(f"k{n}", before) == "a")
        claim = type(ownership.own_claim(key))(key, owner_of(key, after), 1)

        assert not ownership.answer(claim, 1_000.0).agrees
        assert ownership.answer(claim, 1_100.0).agrees

    def test_is_old_a_lifetime_after_its_first_list(self) -> None:
        ownership = KeyOwnership("a", 1, LIFETIME_MS)

        assert not ownership.is_old(5_000.0)
        ownership.take_list(("a",), 5_000.0)
        assert not ownership.is_old(5_999.0)
        assert ownership.is_old(6_000.0)
