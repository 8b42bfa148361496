"""The proof that both ends of a peer stream hold the key of the settings.

Both ends hash one transcript, which holds the fresh random number of each, with the key. So a
proof that was recorded is worth nothing on another connection, and neither end's proof can be
sent back as the other's. Each frame then carries a digest under a key of this one connection,
with its number in the sequence.
"""

import hmac
from dataclasses import dataclass
from hashlib import blake2b, sha256


__all__ = ["NONCE_BYTES", "FrameAuthenticator", "prove", "same_proof", "session_key"]

NONCE_BYTES = 16
SEAL_BYTES = 8


def prove(key: bytes, role: str, transcript: bytes) -> bytes:
    """Return the proof of the end in `role` (`opener` or `acceptor`) for `transcript`."""
    return hmac.new(key, role.encode() + b"\0" + transcript, sha256).digest()


def same_proof(proof: object, expected: bytes) -> bool:
    """Tell whether `proof` is the expected one, in constant time."""
    return isinstance(proof, bytes) and hmac.compare_digest(proof, expected)


def session_key(key: bytes, role: str, transcript: bytes) -> bytes:
    """Return the key for the frames that the end in `role` sends on this connection."""
    return hmac.new(key, b"frames " + role.encode() + b"\0" + transcript, sha256).digest()


@dataclass(slots=True)
class FrameAuthenticator:
    """Seals the frames of one direction; a frame that is changed, lost or repeated fails."""

    key: bytes
    number: int = 0

    def sign(self, content: bytes) -> bytes:
        """Return the next frame with its digest in front."""
        return self._digest(content) + content

    def verify(self, sealed: bytes) -> bytes | None:
        """Return the content of the next frame, or none when its digest is wrong."""
        content = sealed[SEAL_BYTES:]
        if not hmac.compare_digest(sealed[:SEAL_BYTES], self._digest(content)):
            return None
        return content

    def _digest(self, content: bytes) -> bytes:
        self.number += 1
        numbered = self.number.to_bytes(8) + content
        return blake2b(numbered, key=self.key, digest_size=SEAL_BYTES).digest()
