"""Reads and checks the headers and bodies of callers' requests."""

import falcon
import falcon.asgi

__all__ = [
    "DEADLINE_HEADER",
    "HOPS_HEADER",
    "IDEMPOTENCY_HEADER",
    "MAX_BODY_BYTES",
    "read_body",
    "read_deadline_ms",
    "read_hops",
    "read_idempotency_key",
]

DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
HOPS_HEADER = "X-Redwing-Hops"
MAX_BODY_BYTES = 8 * 1024 * 1024  # 8 MiB
MAX_DEADLINE_MS = 3_600_000  # 1 hour
MAX_KEY_CHARACTERS = 128


def read_deadline_ms(req: falcon.asgi.Request) -> int | None:
    """Return the caller's deadline in milliseconds from now, None if not given.

    Raises
    ------
    falcon.HTTPInvalidHeader
        If the header is not a whole number from 1 to `MAX_DEADLINE_MS`.
    """
    text = req.get_header(DEADLINE_HEADER)
    if text is None:
        return None
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise falcon.HTTPInvalidHeader(f"give 1 to {MAX_DEADLINE_MS} ms", DEADLINE_HEADER)
    return int(text)


def read_idempotency_key(req: falcon.asgi.Request) -> str | None:
    """Return the caller's idempotency key, None if not given.

    Raises
    ------
    falcon.HTTPInvalidHeader
        If the key is empty, longer than `MAX_KEY_CHARACTERS` or not printable.
    """
    text = req.get_header(IDEMPOTENCY_HEADER)
    if text is None:
        return None
    if not text.isprintable() or not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise falcon.HTTPInvalidHeader(
            f"give 1 to {MAX_KEY_CHARACTERS} printable characters", IDEMPOTENCY_HEADER
        )
    return text


def read_hops(req: falcon.asgi.Request) -> int:
    """Return how many entries have already forwarded the request, 0 or 1."""
    text = req.get_header(HOPS_HEADER, default="0")
    if text not in ("0", "1"):
        raise falcon.HTTPInvalidHeader("give 0 or 1", HOPS_HEADER)
    return int(text)


async def read_body(req: falcon.asgi.Request, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Read the whole body of a request.

    Raises
    ------
    falcon.HTTPContentTooLarge
        If the body is longer than `limit_bytes`; reading stops there.
    """
    problem = f"send at most {limit_bytes} bytes"
    if (req.content_length or 0) > limit_bytes:
        raise falcon.HTTPContentTooLarge(description=problem)
    chunks = []
    length = 0
    async for chunk in req.stream:
        length += len(chunk)
        if length > limit_bytes:
            raise falcon.HTTPContentTooLarge(description=problem)
        chunks.append(chunk)
    return b"".join(chunks)
