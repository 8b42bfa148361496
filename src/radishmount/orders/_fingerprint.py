"""The fingerprint of an order, which tells a repeat of it from a different order."""

import json
from hashlib import blake2b

from radishmount.orders._order import OrderCall


__all__ = ["fingerprint_of"]


def fingerprint_of(call: OrderCall) -> str:
    """Return a hash of caller, service and body.

    It depends neither on the whitespace of the JSON body nor on the order of its keys.
    """
    content = json.dumps([call.caller, call.service, call.body], sort_keys=True)
    return blake2b(content.encode(), digest_size=16).hexdigest()
