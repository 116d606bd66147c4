"""Checks whether a position that the configuration service named can be right.

A position only rises. If one garbled answer moved it past all real changes, these would
count as known for ever, here and on the hosts that follow this one.
"""

from collections.abc import Iterable

from foxtailseam.store._follower import OLDER_ERA

# Changes between two answers, at most. A larger number has to be confirmed.
MAX_REVISION_STEP = 1_000_000
# Further reasons why an answer is not used.
UNCONFIRMED_ERA = "unconfirmed era"
IMPLAUSIBLE_REVISION = "implausible revision"


class PositionCheck:
    """Believes an era, and an unlikely revision, once a second answer confirms it."""

    def __init__(self):
        self._era: int | None = None
        self._revision = 0
        self._unconfirmed_era: int | None = None
        self._unlikely_revision: int | None = None

    @property
    def era(self) -> int:
        """Return the latest era that is believed; 0 if the service has named none."""
        return self._era or 0

    def check_era(self, era: int) -> str:
        """Keep the era of an answer; return why the answer is unusable, if it is.

        Another era than the one that is believed counts once two answers in a row name
        it, the first one of all included; an earlier one never does.
        """
        before, self._unconfirmed_era = self._unconfirmed_era, None
        if era == self._era:
            return ""
        if self._era is not None and era < self._era:
            return OLDER_ERA
        if era != before:
            self._unconfirmed_era = era
            return UNCONFIRMED_ERA
        self._era = era
        # Revisions are given out again.
        self._revision = 0
        return ""

    def check_revision(self, revision: int, known: int) -> str:
        """Return why an answer with a revision of the service is unusable, if it is.

        Parameters
        ----------
        revision : int
            Revision of the service that the answer names.
        known : int
            Revision that the service is known to have reached, beside those that it
            named in this era before.
        """
        before, self._unlikely_revision = self._unlikely_revision, None
        is_likely = revision <= max(known, self._revision) + MAX_REVISION_STEP
        is_confirmed = before is not None and (
            before <= revision <= before + MAX_REVISION_STEP
        )
        if is_likely or is_confirmed:
            self._revision = max(revision, self._revision)
            return ""
        self._unlikely_revision = revision
        return IMPLAUSIBLE_REVISION


def second_greatest(revisions: Iterable[int]) -> int:
    """Return the second greatest revision, which is known even if one is garbled.

    It is 0 if there are fewer than two.
    """
    greatest = second = 0
    for revision in revisions:
        if revision > greatest:
            greatest, second = revision, greatest
        elif revision > second:
            second = revision
    return second
