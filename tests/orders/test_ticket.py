"""The seal of tickets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmount.orders import Ticket, decode_ticket, encode_ticket


KEY = b"k" * 32
TICKET = Ticket(7, "entry-a", 1234, "workshop", 60_000.0)


class TestTicketSeal:
    """A ticket opens as it was sealed, or not at all."""

    def test_opens_as_it_was_sealed(self) -> None:
        assert decode_ticket(encode_ticket(TICKET, KEY), KEY) == TICKET

    def test_another_key_does_not_open_it(self) -> None:
        assert decode_ticket(encode_ticket(TICKET, KEY), b"l" * 32) is None

    @pytest.mark.parametrize("word", ["", "A", "=", "ä", "x" * 40, "%%%"])
    def test_rubbish_is_no_ticket(self, word: str) -> None:
        assert decode_ticket(word, KEY) is None

    @settings(derandomize=True, database=None)
    @given(at=st.integers(min_value=0), letter=st.sampled_from("ABCabc019-_"))
    def test_no_letter_can_be_changed(self, at: int, letter: str) -> None:
        word = encode_ticket(TICKET, KEY)
        at %= len(word) - 1  # the last letter carries unused bits
        changed = word[:at] + letter + word[at + 1 :]

        assert changed == word or decode_ticket(changed, KEY) is None
