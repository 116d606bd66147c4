"""Stand-ins of the platform, of searchers and of callers, for the cases 6 to 10.

Standard library only. All of them run in the one process of a case; the hosts are
processes of their own, started with the command of the deploy file.
"""
