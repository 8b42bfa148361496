"""Tests of the MAC on each frame between instances."""

from radishmount.border._peer_auth import FrameAuthenticator


KEY = b"the key of one connection"


class TestFrameAuthenticator:
    """Only the next unchanged frame of the same connection is accepted."""

    def test_frames_are_accepted_in_order(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)

        assert [receiver.verify(sender.sign(c)) for c in (b"one", b"two")] == [b"one", b"two"]

    def test_a_changed_frame_is_rejected(self) -> None:
        signed = bytearray(FrameAuthenticator(KEY).sign(b"one"))
        for index in range(len(signed)):
            changed = bytearray(signed)
            changed[index] ^= 1
            assert FrameAuthenticator(KEY).verify(bytes(changed)) is None

    def test_a_repeated_frame_is_rejected(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)
        signed = sender.sign(b"one")

        assert receiver.verify(signed) == b"one"
        assert receiver.verify(signed) is None

    def test_a_frame_of_another_connection_is_rejected(self) -> None:
        assert (
            FrameAuthenticator(b"another key").verify(FrameAuthenticator(KEY).sign(b"one")) is None
        )
