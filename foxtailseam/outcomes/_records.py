"""Merges the shards' fixed-length records in byte order."""

from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records in one shard's response body.

    A remainder at the end that is shorter than a record is ignored.
    """
    end = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all shards in descending byte order.

    Parameters
    ----------
    bodies : iterable of bytes
        Response body of each shard, in any order; duplicate records are kept.
    limit : int
        Maximum number of records to return.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:limit])
