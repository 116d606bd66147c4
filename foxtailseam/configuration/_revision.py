"""Revisions of published values, in a total order that all processes agree on."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Revision:
    """A revision of a published value, ordered by number and then by digest.

    If the configuration service assigns the same number to two contents, the
    digest breaks the tie, so that all processes choose the same one.

    Parameters
    ----------
    number : int
        Number assigned by the configuration service; increases with each
        publication. 0 if nothing was published yet.
    digest : str
        Digest of the content; empty if nothing was published yet.
    """

    number: int = 0
    digest: str = ""


def digest_lines(lines: Iterable[str]) -> str:
    """Return the digest of rules or of another published text.

    Parameters
    ----------
    lines : iterable of str
        Rules in canonical order, each without a line break, or the whole text of
        another published value as one item.

    Returns
    -------
    str
        128-bit BLAKE2b hash in hexadecimal.
    """
    text = "".join(f"{line}\n" for line in lines)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
