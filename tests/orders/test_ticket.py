"""The encoding and the signature of tickets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishmount.orders import Ticket, decode_ticket, encode_ticket


KEY = b"k" * 32
TICKET = Ticket(7, "entry-a", 1234, "workshop", 60_000.0)


class TestTicketEncoding:
    """A ticket is decoded as it was encoded, or not at all."""

    def test_is_decoded_as_it_was_encoded(self) -> None:
        assert decode_ticket(encode_ticket(TICKET, KEY), KEY) == TICKET

    def test_another_key_does_not_decode_it(self) -> None:
        assert decode_ticket(encode_ticket(TICKET, KEY), b"l" * 32) is None

    @pytest.mark.parametrize("text", ["", "A", "=", "ä", "x" * 40, "%%%"])
    def test_invalid_text_is_no_ticket(self, text: str) -> None:
        assert decode_ticket(text, KEY) is None

    @settings(derandomize=True, database=None)
    @given(at=st.integers(min_value=0), letter=st.sampled_from("ABCabc019-_"))
    def test_no_letter_can_be_changed(self, at: int, letter: str) -> None:
        text = encode_ticket(TICKET, KEY)
        at %= len(text) - 1  # a change of the last letter may only touch unused bits
        changed = text[:at] + letter + text[at + 1 :]

        assert changed == text or decode_ticket(changed, KEY) is None
