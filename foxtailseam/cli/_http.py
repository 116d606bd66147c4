"""Reads of processes' HTTP addresses, for commands."""

from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

TIMEOUT_SECONDS = 2.0
ANSWER_SECONDS = 70.0


@dataclass(frozen=True)
class Answer:
    """Status, headers and body of an HTTP reply."""

    status: int
    headers: dict[str, str]
    body: bytes


def fetch(address: str, path: str) -> Result[Answer, str]:
    """Get a page; an error says which address failed and how."""
    return _request("GET", address, path, None, TIMEOUT_SECONDS)


def post(address: str, path: str, body: Any) -> Result[Answer, str]:
    """Post JSON; an error says which address failed and how."""
    encoded = msgspec.json.encode(body)
    return _request("POST", address, path, encoded, ANSWER_SECONDS)


def _request(
    method: str, address: str, path: str, body: bytes | None, seconds: float
) -> Result[Answer, str]:
    try:
        reply = urllib3.request(
            method,
            f"http://{address}{path}",
            body=body,
            timeout=seconds,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        return Err(f"{address}: {type(error).__name__}")
    return Ok(Answer(reply.status, dict(reply.headers), reply.data))
