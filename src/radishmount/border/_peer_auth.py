"""Authentication of peer streams with the shared key from the settings.

Each end proves that it holds the key by an HMAC of the handshake transcript and of its role. The
transcript contains a fresh nonce of each end, so a recorded proof is useless on another connection,
and a proof cannot be reflected to its sender. Each frame then carries a MAC of its content and
sequence number, under a key that is derived for this connection and direction.
"""

import hmac
from dataclasses import dataclass
from hashlib import blake2b, sha256


__all__ = ["NONCE_BYTES", "FrameAuthenticator", "make_proof", "proof_matches", "derive_frame_key"]

NONCE_BYTES = 16
MAC_BYTES = 8


def make_proof(key: bytes, role: str, transcript: bytes) -> bytes:
    """Return the proof for `transcript` by the end with `role` (`opener` or `acceptor`)."""
    return hmac.new(key, role.encode() + b"\0" + transcript, sha256).digest()


def proof_matches(proof: object, expected: bytes) -> bool:
    """Return whether `proof` equals `expected`; compares in constant time."""
    return isinstance(proof, bytes) and hmac.compare_digest(proof, expected)


def derive_frame_key(key: bytes, role: str, transcript: bytes) -> bytes:
    """Derive the key for the frames that the end with `role` sends on this connection."""
    return hmac.new(key, b"frames " + role.encode() + b"\0" + transcript, sha256).digest()


@dataclass(slots=True)
class FrameAuthenticator:
    """Signs or verifies the frames of one direction of a stream, in sequence.

    After a frame was changed, lost, repeated or reordered, verification fails.
    """

    key: bytes
    sequence_number: int = 0

    def sign(self, content: bytes) -> bytes:
        """Return the next frame: its MAC, then `content`."""
        return self._next_mac(content) + content

    def verify(self, signed: bytes) -> bytes | None:
        """Return the content of the next frame, or None if its MAC is wrong."""
        content = signed[MAC_BYTES:]
        if not hmac.compare_digest(signed[:MAC_BYTES], self._next_mac(content)):
            return None
        return content

    def _next_mac(self, content: bytes) -> bytes:
        self.sequence_number += 1
        numbered = self.sequence_number.to_bytes(8) + content
        return blake2b(numbered, key=self.key, digest_size=MAC_BYTES).digest()
