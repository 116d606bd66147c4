"""Requests that ask for another protocol, which a server may ignore (RFC 9110, 7.8)."""

from foxtailseam.http._messages import Headers

_UPGRADE = b"upgrade"


def head_without_upgrade(
    method: bytes, target: bytes, version: str, headers: Headers
) -> bytes:
    """Return the complete head of a request without its Upgrade headers.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    version : str
        Version of HTTP, such as ``1.1``.
    headers : tuple of (bytes, bytes)
        Headers as received.
    """
    lines = [b"%b %b HTTP/%b" % (method, target, version.encode())]
    lines += [b"%b: %b" % item for item in headers if item[0].lower() != _UPGRADE]
    return b"\r\n".join(lines) + b"\r\n\r\n"
