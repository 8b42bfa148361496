"""Tickets, which let a caller repeat an order; they are signed and cannot be forged."""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from dataclasses import dataclass
from hashlib import blake2b


__all__ = ["Ticket", "decode_ticket", "derive_signing_key", "encode_ticket"]

SIGNATURE_BYTES = 16
SEPARATOR = "\n"
KEY_PURPOSE = b"order tickets"


@dataclass(frozen=True, slots=True)
class Ticket:
    """The contents of a ticket: it names the instance that records the outcome of the order.

    `incarnation` tells one start of that instance from another. `expires_at_ms` is a time of the
    monotonic clock of that start, and only that start checks it: setting the wall clock back
    does not make an expired ticket valid again.
    """

    number: int
    instance: str
    incarnation: int
    caller: str
    expires_at_ms: float


def derive_signing_key(secret: bytes) -> bytes:
    """Return the key that signs tickets; `secret` cannot be computed from it."""
    return blake2b(KEY_PURPOSE, key=secret[:64], digest_size=32).digest()


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Return `ticket`, signed with `key`, as text that is safe in a URL.

    text = encode_ticket(ticket, key)
    decode_ticket(text, key) == ticket
    """
    fields = (
        f"{ticket.number}",
        ticket.instance,
        f"{ticket.incarnation}",
        ticket.caller,
        f"{ticket.expires_at_ms:.0f}",
    )
    content = SEPARATOR.join(fields).encode()
    return urlsafe_b64encode(_sign(content, key) + content).decode().rstrip("=")


def decode_ticket(text: str, key: bytes) -> Ticket | None:
    """Return the ticket in `text`, or none if it was not signed with `key`."""
    try:
        raw = urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
    except (Base64Error, ValueError):
        return None
    signature, content = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(content, key)):
        return None
    number, instance, incarnation, caller, expires_at_ms = content.decode().split(SEPARATOR)
    return Ticket(int(number), instance, int(incarnation), caller, float(expires_at_ms))


def _sign(content: bytes, key: bytes) -> bytes:
    return blake2b(content, key=key, digest_size=SIGNATURE_BYTES).digest()
