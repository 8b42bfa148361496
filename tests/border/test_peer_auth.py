"""The seal on each frame between instances."""

from radishmount.border._peer_auth import FrameSeal


KEY = b"the key of one connection"


class TestFrameSeal:
    """Only the next whole frame of this connection opens."""

    def test_opens_frames_in_their_order(self) -> None:
        sender, receiver = FrameSeal(KEY), FrameSeal(KEY)

        assert [receiver.open(sender.seal(c)) for c in (b"one", b"two")] == [b"one", b"two"]

    def test_a_changed_frame_does_not_open(self) -> None:
        sealed = bytearray(FrameSeal(KEY).seal(b"one"))
        for place in range(len(sealed)):
            changed = bytearray(sealed)
            changed[place] ^= 1
            assert FrameSeal(KEY).open(bytes(changed)) is None

    def test_a_repeated_frame_does_not_open(self) -> None:
        sender, receiver = FrameSeal(KEY), FrameSeal(KEY)
        sealed = sender.seal(b"one")

        assert receiver.open(sealed) == b"one"
        assert receiver.open(sealed) is None

    def test_a_frame_of_another_connection_does_not_open(self) -> None:
        assert FrameSeal(b"another key").open(FrameSeal(KEY).seal(b"one")) is None
