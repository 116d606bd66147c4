"""Buffer space of the requests of a caller's connection."""

from foxtailseam.http._connection_owner import ConnectionOwner


class RequestSpace:
    """Space that the requests of a connection take until they are answered.

    Parameters
    ----------
    listener : ConnectionOwner
        Listener whose buffer space all connections share.
    """

    __slots__ = ("_body_bytes", "_header_bytes", "_listener")

    def __init__(self, listener: ConnectionOwner):
        self._listener = listener
        self._header_bytes = 0
        self._body_bytes = 0

    def reserve_header(self, size: int) -> bool:
        """Reserve `size` bytes for a header; return whether there were enough."""
        is_reserved = self._listener.header_space.reserve(size)
        if is_reserved:
            self._header_bytes += size
        return is_reserved

    def reserve_body(self, size: int) -> bool:
        """Reserve `size` bytes for a body; return whether there were enough."""
        is_reserved = self._listener.reserve(size)
        if is_reserved:
            self._body_bytes += size
        return is_reserved

    def release(self, header_size: int, body_size: int) -> None:
        """Release the space of a request.

        Parameters
        ----------
        header_size, body_size : int
            Number of bytes that were reserved for its header and its body.
        """
        self._header_bytes -= header_size
        self._body_bytes -= body_size
        self._listener.header_space.reserve(-header_size)
        self._listener.release(body_size)

    def release_all(self) -> None:
        """Release the space of all requests."""
        self.release(self._header_bytes, self._body_bytes)
