"""Encoding and decoding of the messages about orders between instances."""

import pytest
from result import Err

from radishmount.border import ORDER_PEER_MODELS, pack_frame, register_peer_models, unpack_frame
from radishmount.codes import Code, RunStatus
from radishmount.fleet import Request, Response
from radishmount.orders import (
    KeyAgreement,
    KeyClaim,
    OrderAction,
    OrderAnswer,
    OrderCall,
    OrderOutcome,
    OrderQuestion,
    OrderReport,
)


register_peer_models(*ORDER_PEER_MODELS)
CALL = OrderCall("workshop", "order-booking", {"bales": 2, "lots": ["a"]}, 190.0, "t", None, True)
MESSAGES = [
    OrderQuestion("r-1", OrderAction.VOID, CALL, 180.5),
    OrderReport(OrderAnswer(OrderOutcome(RunStatus.RAN, result={"confirmed": True}), "t", True)),
    OrderReport(OrderAnswer(OrderOutcome(RunStatus.UNKNOWN, Code.OUTCOME_PENDING, detail="soon"))),
    KeyClaim("workshop\nk", "entry-a", 2**62),
    KeyAgreement(agrees=True, is_old=False),
]


class TestOrderMessages:
    """Each message is decoded as it was encoded, and invalid ones are refused."""

    @pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
    def test_is_decoded_as_it_was_encoded(self, message: object) -> None:
        for frame in (Request(3, message), Response(3, message)):
            assert unpack_frame(pack_frame(frame).unwrap()).unwrap() == frame

    def test_an_unknown_wish_is_refused(self) -> None:
        sent = pack_frame(Request(3, MESSAGES[0])).unwrap().replace(b"\xa4void", b"\xa4vote")

        refused = unpack_frame(sent)
        assert isinstance(refused, Err)
        assert refused.err_value.code is Code.UNREADABLE_MESSAGE
