"""Sets of the positions of tasks as integers, and their stored form."""

from collections.abc import Iterator

__all__ = ["decode_bits", "encode_bits", "iterate_bits"]

MAX_PLAIN_DIGITS = 64
"""Sets with more hexadecimal digits are stored as ranges if that is shorter: few tasks of a wide
step would take as many digits as all of them."""
DIGITS_PER_POSITION = 8
"""Ranges are not tried for sets with more positions than one in so many digits: to find them would
cost more than they save."""
RANGES_MARK = "~"


def iterate_bits(bits: int) -> Iterator[int]:
    """Return the positions of the bits that are set, in ascending order."""
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def encode_bits(bits: int) -> str:
    """Return a set as a hexadecimal number, or as ranges if that is shorter and the set is wide."""
    plain = f"{bits:x}"
    if len(plain) <= MAX_PLAIN_DIGITS or bits.bit_count() * DIGITS_PER_POSITION > len(plain):
        return plain
    ranges = RANGES_MARK + ",".join(_encode_range(*each) for each in _find_ranges(bits))
    return min(plain, ranges, key=len)


def decode_bits(text: str) -> int:
    """Return the set in its stored form.

    Raises
    ------
    ValueError
        If it is neither a hexadecimal number nor a list of ranges.
    """
    if not text.startswith(RANGES_MARK):
        return int(text or "0", 16)
    bits = 0
    for part in text.removeprefix(RANGES_MARK).split(","):
        first, _, last = part.partition("-")
        count = int(last or first) - int(first) + 1
        bits |= ((1 << count) - 1) << int(first)
    return bits


def _find_ranges(bits: int) -> Iterator[tuple[int, int]]:
    """Return the first and last positions of the runs of bits that are set."""
    offset = 0
    while bits:
        zeros = (bits & -bits).bit_length() - 1
        bits >>= zeros
        ones = (~bits & (bits + 1)).bit_length() - 1
        yield offset + zeros, offset + zeros + ones - 1
        bits >>= ones
        offset += zeros + ones


def _encode_range(first: int, last: int) -> str:
    return str(first) if first == last else f"{first}-{last}"
