"""Merges shards' records of fixed length by their bytes."""

from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a part; a shorter remainder is none."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        One for each part, in any order; equal records all count.
    top : int
        Highest number of records to return.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:top])
