"""Tickets: what lets a caller ask again for the same order, sealed so that none can be forged."""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from hashlib import blake2b


__all__ = ["Ticket", "decode_ticket", "seal_key_from", "encode_ticket"]

SEAL_BYTES = 16
SEPARATOR = "\n"
KEY_PURPOSE = b"order tickets"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A caller's right to ask again: it names the instance that keeps the outcome.

    `incarnation` tells one start of the instance from the next. Only that start judges
    `expires_at_ms`, which is a time of its own monotonic clock, so that no jump of the time of
    day lets a ticket live again.
    """

    number: int
    instance: str
    incarnation: int
    caller: str
    expires_at_ms: float


def seal_key_from(secret: bytes) -> bytes:
    """Return the key of the tickets' seals, which says nothing of `secret` itself."""
    return blake2b(KEY_PURPOSE, key=secret[:64], digest_size=32).digest()


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Return `ticket` as callers keep it: one word that is safe in a URL.

    word = encode_ticket(ticket, key)
    decode_ticket(word, key) == ticket
    """
    fields = (
        f"{ticket.number}",
        ticket.instance,
        f"{ticket.incarnation}",
        ticket.caller,
        f"{ticket.expires_at_ms:.0f}",
    )
    content = SEPARATOR.join(fields).encode()
    return urlsafe_b64encode(_seal(content, key) + content).decode().rstrip("=")


def decode_ticket(word: str, key: bytes) -> Ticket | None:
    """Return the ticket that `word` holds, none when it was not sealed with `key`."""
    try:
        raw = urlsafe_b64decode(word.encode("ascii") + b"=" * (-len(word) % 4))
    except (Base64Error, ValueError):
        return None
    seal, content = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not hmac.compare_digest(seal, _seal(content, key)):
        return None
    number, instance, incarnation, caller, expires_at_ms = content.decode().split(SEPARATOR)
    return Ticket(int(number), instance, int(incarnation), caller, float(expires_at_ms))


def _seal(content: bytes, key: bytes) -> bytes:
    return blake2b(content, key=key, digest_size=SEAL_BYTES).digest()
