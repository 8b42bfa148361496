"""Compression of long frames, such as pieces of a bundle and the instance list."""

import zlib

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = ["decompress", "compress"]

SQUEEZED_FROM_BYTES = 1024
AS_IT_IS = b"\x00"
SQUEEZED = b"\x01"


def compress(content: bytes) -> bytes:
    """Return `content` behind a byte that tells whether it was compressed."""
    if len(content) < SQUEEZED_FROM_BYTES:
        return AS_IT_IS + content
    return SQUEEZED + zlib.compress(content)


def decompress(content: bytes, max_bytes: int) -> Result[bytes, Refusal]:
    """Return what was given to `compress`, or a refusal when it is longer than `max_bytes`."""
    if content[:1] == AS_IT_IS:
        return Ok(content[1:])
    if content[:1] != SQUEEZED:
        return Err(Refusal(Code.BAD_FRAME, detail="neither compressed nor as it is"))
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(content[1:], max_bytes)
    except zlib.error as error:
        return Err(Refusal(Code.BAD_FRAME, detail=str(error)))
    if expander.unconsumed_tail or not expander.eof:
        return Err(Refusal(Code.FRAME_TOO_LARGE, detail=f"above {max_bytes} bytes"))
    return Ok(expanded)
