"""HTTP requests that the commands send to processes."""

from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

GET_TIMEOUT_SECONDS = 2.0
POST_TIMEOUT_SECONDS = 70.0


@dataclass(frozen=True)
class Response:
    """An HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Response headers.
    body : bytes
        Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def fetch(address: str, path: str) -> Result[Response, str]:
    """Send a GET request.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the process.
    path : str
        Path of the resource, with a leading slash.

    Returns
    -------
    Result[Response, str]
        The response, or an error message with the address and the cause.
    """
    return _request("GET", address, path, None, GET_TIMEOUT_SECONDS)


def post(address: str, path: str, body: Any) -> Result[Response, str]:
    """Send a POST request with a JSON body.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the process.
    path : str
        Path of the resource, with a leading slash.
    body : object
        Object to encode as JSON.

    Returns
    -------
    Result[Response, str]
        The response, or an error message with the address and the cause.
    """
    encoded = msgspec.json.encode(body)
    return _request("POST", address, path, encoded, POST_TIMEOUT_SECONDS)


def _request(
    method: str, address: str, path: str, body: bytes | None, timeout_seconds: float
) -> Result[Response, str]:
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            body=body,
            timeout=timeout_seconds,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        return Err(f"{address}: {type(error).__name__}")
    return Ok(Response(response.status, dict(response.headers), response.data))
