"""Reads the body of an HTTP response that may have no end."""

import aiohttp


__all__ = ["read_bounded"]

READ_BYTES = 64 * 1024


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes | None:
    """Return the body, or None if it exceeds `max_bytes`; its connection is then closed.

    content = await read_bounded(response, MAX_REPLY_BYTES)
    if content is None:
        return Err(Failure(Code.BAD_REPLY, RunStatus.UNKNOWN))
    """
    content = bytearray()
    async for chunk in response.content.iter_chunked(READ_BYTES):
        content += chunk
        if len(content) > max_bytes:
            response.close()
            return None
    return bytes(content)
