"""Compression of large frames, such as pieces of a bundle or the instance list."""

import zlib

from result import Err, Ok, Result

from radishmount.codes import Code, Refusal


__all__ = ["decompress", "compress"]

COMPRESSION_THRESHOLD_BYTES = 1024
UNCOMPRESSED = b"\x00"
COMPRESSED = b"\x01"


def compress(content: bytes) -> bytes:
    """Return `content`, compressed if it is long, behind a byte that tells whether it is."""
    if len(content) < COMPRESSION_THRESHOLD_BYTES:
        return UNCOMPRESSED + content
    return COMPRESSED + zlib.compress(content)


def decompress(content: bytes, max_bytes: int) -> Result[bytes, Refusal]:
    """Reverse `compress`; refuse if compressed content expands to more than `max_bytes`."""
    if content[:1] == UNCOMPRESSED:
        return Ok(content[1:])
    if content[:1] != COMPRESSED:
        return Err(Refusal(Code.BAD_FRAME, detail="unknown compression flag"))
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content[1:], max_bytes)
    except zlib.error as error:
        return Err(Refusal(Code.BAD_FRAME, detail=str(error)))
    if decompressor.unconsumed_tail or not decompressor.eof:
        return Err(Refusal(Code.FRAME_TOO_LARGE, detail=f"more than {max_bytes} bytes"))
    return Ok(decompressed)
