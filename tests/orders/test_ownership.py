"""When the owner of an idempotency key may run an order under it."""

import pytest

from radishmount.orders import KeyAgreement
from radishmount.orders._ownership import KeyOwnership, may_run_key, owner_of


FULL_HISTORY = KeyAgreement(agrees=True, is_old=True)
SHORT_HISTORY = KeyAgreement(agrees=True, is_old=False)
DISAGREES = KeyAgreement(agrees=False, is_old=True)
OTHERS = ("b", "c", "d")
LIFETIME_MS = 1_000.0


class TestMayRunKey:
    """Every listed instance must agree, and two thirds of them must have a full history."""

    @pytest.mark.parametrize(
        ("own", "answers", "allowed"),
        [
            (FULL_HISTORY, (FULL_HISTORY, FULL_HISTORY, FULL_HISTORY), True),
            (FULL_HISTORY, (FULL_HISTORY, FULL_HISTORY, SHORT_HISTORY), True),
            (FULL_HISTORY, (FULL_HISTORY, SHORT_HISTORY, SHORT_HISTORY), False),
            (FULL_HISTORY, (FULL_HISTORY, FULL_HISTORY, DISAGREES), False),
            (FULL_HISTORY, (FULL_HISTORY, FULL_HISTORY, None), False),
            (SHORT_HISTORY, (FULL_HISTORY, FULL_HISTORY, FULL_HISTORY), False),
            (DISAGREES, (FULL_HISTORY, FULL_HISTORY, FULL_HISTORY), False),
        ],
    )
    def test_needs_every_agreement_and_enough_full_histories(
        self, own: KeyAgreement, answers: tuple[KeyAgreement | None, ...], allowed: bool
    ) -> None:
        by_name = {
            name: answer for name, answer in zip(OTHERS, answers, strict=True) if answer is not None
        }

        assert may_run_key(own, OTHERS, by_name) is allowed

    def test_the_only_listed_instance_needs_no_other_agreement(self) -> None:
        assert may_run_key(FULL_HISTORY, (), {})


class TestKeyOwnership:
    """What an instance remembers of its past instance lists."""

    def test_agrees_again_a_lifetime_after_the_owner_changed(self) -> None:
        before, after = ("a", "b"), ("b", "c")
        ownership = KeyOwnership("b", 1, LIFETIME_MS)
        ownership.apply_list(before, 0.0)
        ownership.apply_list(after, 100.0)
        key = next(f"k{n}" for n in range(99) if owner_of(f"k{n}", before) == "a")
        claim = type(ownership.make_claim(key))(key, owner_of(key, after), 1)

        assert not ownership.answer_claim(claim, 1_000.0).agrees
        assert ownership.answer_claim(claim, 1_100.0).agrees

    def test_has_a_full_history_a_lifetime_after_its_first_list(self) -> None:
        ownership = KeyOwnership("a", 1, LIFETIME_MS)

        assert not ownership.has_full_history(5_000.0)
        ownership.apply_list(("a",), 5_000.0)
        assert not ownership.has_full_history(5_999.0)
        assert ownership.has_full_history(6_000.0)
