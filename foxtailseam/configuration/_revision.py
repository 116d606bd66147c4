"""Revisions of the rules: totally ordered, and the same in every process."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Revision:
    """A published revision.

    The number is the one the configuration service gives. Should it ever give
    one number to two contents, the digest decides, alike in every process.

    Parameters
    ----------
    number : int
        Rises with each hand-over; 0 before the first one.
    digest : str
        Digest of the canonical rules.
    """

    number: int = 0
    digest: str = ""


def rules_digest(lines: Iterable[str]) -> str:
    """Return the digest of rules in canonical order."""
    text = "".join(f"{line}\n" for line in lines)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
