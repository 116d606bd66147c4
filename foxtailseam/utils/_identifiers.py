"""Random identifiers."""

import secrets

IDENTIFIER_BYTES = 12


def new_identifier() -> str:
    """Return a random identifier of 96 bits, in hexadecimal."""
    return secrets.token_hex(IDENTIFIER_BYTES)
