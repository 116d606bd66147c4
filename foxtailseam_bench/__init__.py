"""Test doubles of the platform and the searchers, a launcher, and a load generator.

None of this is part of the product; only tests of the product import it.
"""
