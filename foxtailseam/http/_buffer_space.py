"""Space that buffers filled by others share, and its reservation."""

import sys


class BufferSpace:
    """Number of bytes that the buffers of several connections may take together.

    Parameters
    ----------
    limit : int
        Maximum number of reserved bytes.
    """

    __slots__ = ("_reserved", "limit")

    def __init__(self, limit: int = sys.maxsize):
        self.limit = limit
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """Return the number of reserved bytes."""
        return self._reserved

    @property
    def available(self) -> int:
        """Return the number of bytes that may still be reserved, at least 0."""
        return max(0, self.limit - self._reserved)

    def reserve(self, size: int, is_forced: bool = False) -> bool:
        """Reserve `size` bytes; return whether there were enough.

        Parameters
        ----------
        size : int
            Number of bytes; a negative one releases bytes.
        is_forced : bool
            Whether the bytes are reserved even if there are not enough, since the
            buffer is already filled.
        """
        if size > 0 and not is_forced and self._reserved + size > self.limit:
            return False
        self._reserved += size
        return True


class Reservation:
    """Bytes of a buffer space, released when nothing refers to them any more.

    Whoever keeps the buffer keeps its reservation, too.

    Parameters
    ----------
    space : BufferSpace
        Space to reserve bytes of.
    """

    __slots__ = ("_size", "_space")

    def __init__(self, space: BufferSpace):
        self._space = space
        self._size = 0

    def __del__(self):
        self._space.reserve(-self._size)

    @property
    def size(self) -> int:
        """Return the number of reserved bytes."""
        return self._size

    def resize(self, size: int) -> bool:
        """Reserve `size` bytes in all; return whether there were enough."""
        if not self._space.reserve(size - self._size):
            return False
        self._size = size
        return True
