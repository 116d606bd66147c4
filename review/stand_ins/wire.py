"""Reading and writing of HTTP/1.1 messages."""

import asyncio

REASON_PHRASES = {200: "OK", 410: "Gone", 421: "Misdirected Request", 503: "Busy"}
Headers = list[tuple[str, str]]


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, target, headers (names in lower case) and body of a request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ")
    headers = dict(_parse_header(line) for line in lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, Headers, bytes]:
    """Return status, headers (names in lower case) and body of a response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = [_parse_header(line) for line in lines]
    size = int(dict(headers).get("content-length", "0"))
    return int(first.split(" ")[1]), headers, await reader.readexactly(size)


def render_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a response with its length as bytes."""
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def render_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return a request with its length as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def _parse_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.strip().lower(), value.strip()
