"""Merges the shards' fixed-length records in byte order."""

import struct
from collections.abc import Iterable

RECORD_BYTES = 16
RECORD_FORMAT = f"{RECORD_BYTES}s"
# A body is merged in blocks: separate records take a multiple of its size, and the
# struct module keeps what it compiled for each of the last formats.
BLOCK_BYTES = 1_024 * RECORD_BYTES


def split_records(body: bytes) -> list[bytes]:
    """Return the records in one shard's response body.

    A remainder at the end that is shorter than a record is ignored.
    """
    count = len(body) // RECORD_BYTES
    return list(struct.unpack_from(RECORD_FORMAT * count, body))


class TopRecords:
    """The greatest records of the parts added so far.

    Parts are merged as they arrive, so that little is left to do for the answer.

    Parameters
    ----------
    limit : int
        Maximum number of records to keep.
    """

    def __init__(self, limit: int):
        self.limit = limit
        # In descending byte order.
        self._records: list[bytes] = []

    def add(self, body: bytes) -> None:
        """Add the records of one shard's response body; duplicates are kept."""
        for start in range(0, len(body), BLOCK_BYTES):
            records = split_records(body[start : start + BLOCK_BYTES])
            if len(self._records) >= self.limit > 0:
                least = self._records[-1]
                records = [record for record in records if record > least]
            if records:
                self._records += records
                self._records.sort(reverse=True)
                del self._records[self.limit :]

    def join(self) -> bytes:
        """Return the records in descending byte order."""
        return b"".join(self._records)


def merge_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all shards in descending byte order.

    Parameters
    ----------
    bodies : iterable of bytes
        Response body of each shard, in any order; duplicate records are kept.
    limit : int
        Maximum number of records to return.
    """
    top_records = TopRecords(limit)
    for body in bodies:
        top_records.add(body)
    return top_records.join()
