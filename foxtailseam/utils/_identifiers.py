"""Generation of random identifiers."""

import secrets

IDENTIFIER_BYTES = 12


def new_identifier() -> str:
    """Return a random 96-bit identifier as 24 hexadecimal digits."""
    return secrets.token_hex(IDENTIFIER_BYTES)
