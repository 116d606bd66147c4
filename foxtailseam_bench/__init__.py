"""Stand-ins for the platform and the searchers, a launcher, and a load tool.

Nothing of this is part of the product; no product module imports it.
"""
