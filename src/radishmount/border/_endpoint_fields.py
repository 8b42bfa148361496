"""Types for the fields of a listed endpoint, the same wherever one comes in.

What one side accepts is sent on to others. So the store's client and the messages between
instances share these limits; a message with an entry that its receiver refuses would be lost.
"""

from typing import Annotated

from pydantic import Field

from radishmount.border._quantities import MAX_QUANTITY, ReachableAddress


__all__ = [
    "ColdTime",
    "DataCentreName",
    "EndpointAddress",
    "ListedName",
    "ServiceName",
    "SlotCount",
    "StartTime",
]

# The name is sent in a header, so it has no spaces, control characters or line breaks.
ListedName = Annotated[str, Field(strict=True, max_length=200, pattern=r"\A[!-~]+\z")]
ServiceName = Annotated[str, Field(strict=True, min_length=1, max_length=200)]
DataCentreName = Annotated[str, Field(strict=True, min_length=1, max_length=100)]
EndpointAddress = Annotated[ReachableAddress, Field(strict=True)]
SlotCount = Annotated[int, Field(strict=True, ge=1, le=1_000_000)]
ColdTime = Annotated[float, Field(strict=True, ge=0.0, le=MAX_QUANTITY)]  # milliseconds
StartTime = Annotated[int, Field(strict=True, ge=0, lt=2**63)]  # Unix milliseconds, 0 if unknown
