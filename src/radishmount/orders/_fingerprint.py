"""The fingerprint of an order, by which a repeat is told from another order."""

import json
from hashlib import blake2b

from radishmount.orders._order import OrderCall


__all__ = ["fingerprint_of"]


def fingerprint_of(call: OrderCall) -> str:
    """Return the same text for the same caller, service and body, however the body is spaced."""
    content = json.dumps([call.caller, call.service, call.body], sort_keys=True)
    return blake2b(content.encode(), digest_size=16).hexdigest()
