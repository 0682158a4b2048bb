"""Reads answers of services whose size nobody vouches for."""

import aiohttp

__all__ = ["ANSWER_LIMIT_BYTES", "OversizedAnswerError", "read_answer"]

ANSWER_LIMIT_BYTES = 32 * 1024 * 1024
"""Far more than the largest answer of the store: the changes of its whole history."""


class OversizedAnswerError(aiohttp.ClientPayloadError):
    """An answer is longer than any that the service should give, or has no end."""


async def read_answer(
    response: aiohttp.ClientResponse, limit_bytes: int = ANSWER_LIMIT_BYTES
) -> bytes:
    """Return the body of a response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose body has not been read; its connection is closed if the body is too long.
    limit_bytes : int
        Largest length of the body.

    Raises
    ------
    OversizedAnswerError
        The body is longer.
    """
    parts: list[bytes] = []
    total_bytes = 0
    async for part in response.content.iter_any():
        total_bytes += len(part)
        if total_bytes > limit_bytes:
            response.close()
            raise OversizedAnswerError(f"an answer is longer than {limit_bytes} bytes")
        parts.append(part)
    return b"".join(parts)
