"""What instances say to each other about orders, as bytes and back."""

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
    """Each message arrives as it was sent, and rubbish does not arrive."""

    @pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
    def test_arrives_as_it_was_sent(self, message: object) -> None:
        for frame in (Request(3, message), Response(3, message)):
            assert unpack_frame(pack_frame(frame).unwrap()).unwrap() == frame

    def test_a_wish_that_is_none_is_refused(self) -> None:
        sent = pack_frame(Request(3, MESSAGES[0])).unwrap().replace(b"\xa4void", b"\xa4vote")

        refused = unpack_frame(sent)
        assert isinstance(refused, Err)
        assert refused.err_value.code is Code.BAD_FRAME
