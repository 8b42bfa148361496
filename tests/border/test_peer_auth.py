"""The seal on each frame between instances."""

from radishmount.border._peer_auth import FrameAuthenticator


KEY = b"the key of one connection"


class TestFrameAuthenticator:
    """Only the next whole frame of this connection opens."""

    def test_opens_frames_in_their_order(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)

        assert [receiver.verify(sender.sign(c)) for c in (b"one", b"two")] == [b"one", b"two"]

    def test_a_changed_frame_does_not_open(self) -> None:
        sealed = bytearray(FrameAuthenticator(KEY).sign(b"one"))
        for place in range(len(sealed)):
            changed = bytearray(sealed)
            changed[place] ^= 1
            assert FrameAuthenticator(KEY).verify(bytes(changed)) is None

    def test_a_repeated_frame_does_not_open(self) -> None:
        sender, receiver = FrameAuthenticator(KEY), FrameAuthenticator(KEY)
        sealed = sender.sign(b"one")

        assert receiver.verify(sealed) == b"one"
        assert receiver.verify(sealed) is None

    def test_a_frame_of_another_connection_does_not_open(self) -> None:
        assert (
            FrameAuthenticator(b"another key").verify(FrameAuthenticator(KEY).sign(b"one")) is None
        )
