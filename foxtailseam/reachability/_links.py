"""Finds out whether failing searchers or the links of this host are at fault."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from foxtailseam.clocks import Clock, Timers
from foxtailseam.reachability._contacts import ContactTracker
from foxtailseam.reachability._verdict import LinkEvidence, LinkState, judge_links

# Number of different searchers that must fail before the links are suspected.
MIN_FAILING_SEARCHERS = 3
# Time without any contact before silent searchers make the links suspect, in seconds.
MIN_SILENCE_SECONDS = 0.05
# Number of searchers that a round tries to connect to.
PROBES_PER_ROUND = 6
# Longest time to wait for a connection in a round, in seconds.
PROBE_TIMEOUT_SECONDS = 0.15
# Shortest time between the end of a round and the next one, in seconds, while the links
# are believed to work.
MIN_ROUND_INTERVAL_SECONDS = 0.25
# Mean time between two rounds while the links do not work, in seconds. The jitter keeps
# hosts whose links return together from using them again at the same moment.
RECHECK_SECONDS = 0.3
RECHECK_JITTER = (0.5, 1.5)
# A host without requests checks its links if it had no contact for this long, in
# seconds, within the range of the jitter.
IDLE_CHECK_SECONDS = 1.0
# One silent searcher is enough for a check if there was no contact for this long.
LONE_SILENCE_SECONDS = 0.4
# Links that are lost again within this time must work in twice as many rounds as
# before, up to the maximum, until they are used again.
FLAP_SECONDS = 5.0
MAX_REQUIRED_ROUNDS = 4

_CONNECTED = LinkState.CONNECTED


class ProbeTarget(Protocol):
    """Searcher that a connection can be opened to."""

    @property
    def identifier(self) -> str:
        """Return the identifier of the searcher."""

    def connect(self, timeout: float, done: Callable[[bool], None]) -> None:
        """Open a connection; call `done` once with whether that succeeded.

        Parameters
        ----------
        timeout : float
            Longest time to wait, in seconds.
        done : callable
            Called with the result.
        """


@dataclass(frozen=True, slots=True)
class LinkChange:
    """Change of the state of the links, for the log.

    Parameters
    ----------
    state : LinkState
        New state.
    evidence : LinkEvidence
        Evidence that led to it.
    contact_age : float
        Seconds since any searcher was last heard from, before the round.
    """

    state: LinkState
    evidence: LinkEvidence
    contact_age: float


class LinkMonitor:
    """Distinguishes lost links of this host from searchers that fail.

    Failing searchers only raise a suspicion. A round of connection attempts to several
    searchers then decides: connections are accepted by searchers that are slow, full or
    paused, too.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    timers : Timers
        Scheduler of delayed calls.
    generator : random.Random
        Source of the jitter of intervals.
    contacts : ContactTracker
        Contacts with searchers.
    choose_targets : callable
        Returns up to the given number of searchers to probe.
    """

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        generator: random.Random,
        contacts: ContactTracker,
        choose_targets: Callable[[int], Sequence[ProbeTarget]],
    ):
        self.clock = clock
        self.timers = timers
        self.generator = generator
        self.contacts = contacts
        self.choose_targets = choose_targets
        # Called with each `LinkChange`.
        self.on_change: Callable[[LinkChange], None] = lambda change: None
        self._state = _CONNECTED
        self._round: _Round | None = None
        self._round_ended_at = float("-inf")
        self._returned_at = float("-inf")
        self._good_rounds = 0
        self._required_rounds = 1
        self._idle_check_seconds = IDLE_CHECK_SECONDS
        # Called with whether the links work once the round in progress has ended.
        self._waiting: list[Callable[[bool], None]] = []
        contacts.on_failure = self._on_failure

    @property
    def state(self) -> LinkState:
        """Return what this host can reach of the searchers."""
        return self._state

    @property
    def is_connected(self) -> bool:
        """Return whether the links are believed to work."""
        return self._state is _CONNECTED

    @property
    def is_suspect(self) -> bool:
        """Return whether a round decides at the moment whether the links work."""
        return self._round is not None

    def confirm(self, since: float, done: Callable[[bool], None]) -> None:
        """Call `done` with whether the links have worked after a moment.

        Parameters
        ----------
        since : float
            The moment, as monotonic time in seconds.
        done : callable
            Called now if the answer is known, else after a round.
        """
        if not self.is_connected:
            done(False)
        elif self.contacts.last_contact_at > since:
            done(True)
        else:
            self._waiting.append(done)
            self._start_round()

    def check_idle(self) -> None:
        """Check the links of a host that has had no contact for a while."""
        if self.is_connected and self.contacts.age > self._idle_check_seconds:
            self._idle_check_seconds = IDLE_CHECK_SECONDS * self._jitter()
            self._start_round(is_idle_check=True)

    def _on_failure(self) -> None:
        elapsed = self.clock.monotonic() - self._round_ended_at
        if not self.is_connected or elapsed < MIN_ROUND_INTERVAL_SECONDS:
            return
        contacts = self.contacts
        if self._is_suspicious():
            self._start_round()
        elif contacts.silent and contacts.age >= LONE_SILENCE_SECONDS:
            self._start_round(is_idle_check=True)

    def _is_suspicious(self) -> bool:
        contacts = self.contacts
        return contacts.unconnectable >= MIN_FAILING_SEARCHERS or (
            contacts.silent >= MIN_FAILING_SEARCHERS
            and contacts.age >= MIN_SILENCE_SECONDS
        )

    def _start_round(self, is_idle_check: bool = False) -> None:
        if self._round is not None:
            if is_idle_check or not self._round.is_idle_check:
                return
            # Replaces the check, whose probes may still prove that the links work.
            self._round.has_ended = True
        targets = self.choose_targets(1 if is_idle_check else PROBES_PER_ROUND)
        if not targets:
            self._round = None
            self._schedule_recheck()
            self._resolve_waiting()
            return
        now = self.clock.monotonic()
        probe_round = _Round(len(targets), now, self.contacts.age, is_idle_check)
        self._round = probe_round
        for target in targets:
            on_probed = partial(self._on_probed, probe_round, target.identifier)
            target.connect(PROBE_TIMEOUT_SECONDS, on_probed)

    def _on_probed(self, probe_round: "_Round", searcher: str, accepts: bool) -> None:
        if accepts:
            probe_round.accepted += 1
            self.contacts.record_connected()
        elif not probe_round.has_ended:
            probe_round.failed += 1
            self.contacts.record_connect_failure(searcher)
        if probe_round.has_ended:
            return
        if judge_links(self._state, self._evidence(probe_round)) is _CONNECTED:
            self._end_round(probe_round)
        elif probe_round.accepted + probe_round.failed == probe_round.probed:
            # Responses on open connections may still come.
            elapsed = self.clock.monotonic() - probe_round.started_at
            delay = max(0.0, PROBE_TIMEOUT_SECONDS - elapsed)
            self.timers.call_later(delay, self._end_round, probe_round)

    def _evidence(self, probe_round: "_Round") -> LinkEvidence:
        return LinkEvidence(
            probe_round.accepted,
            probe_round.probed,
            self.contacts.silent >= MIN_FAILING_SEARCHERS,
            self.contacts.responds_without_connecting,
        )

    def _end_round(self, probe_round: "_Round") -> None:
        if probe_round is not self._round:
            return
        probe_round.has_ended = True
        self._round = None
        self._round_ended_at = self.clock.monotonic()
        evidence = self._evidence(probe_round)
        verdict = judge_links(self._state, evidence)
        is_good = verdict is _CONNECTED
        if self.is_connected and not is_good and probe_round.is_idle_check:
            # The only searcher that was probed may be at fault itself.
            self._start_round()
            return
        self._good_rounds = self._good_rounds + 1 if is_good else 0
        may_return = self.is_connected or self._good_rounds >= self._required_rounds
        try:
            if verdict is not self._state and (not is_good or may_return):
                self._change(LinkChange(verdict, evidence, probe_round.contact_age))
        finally:
            self._schedule_recheck()
            self._resolve_waiting()

    def _schedule_recheck(self) -> None:
        if not self.is_connected:
            delay = RECHECK_SECONDS * self._jitter()
            self.timers.call_later(delay, self._start_round)

    def _change(self, change: LinkChange) -> None:
        now = self.clock.monotonic()
        if change.state is _CONNECTED:
            self._returned_at = now
        elif self.is_connected:
            has_flapped = now - self._returned_at < FLAP_SECONDS
            rounds = 2 * self._required_rounds if has_flapped else 1
            self._required_rounds = min(MAX_REQUIRED_ROUNDS, rounds)
        self._state = change.state
        self.on_change(change)

    def _resolve_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for done in waiting:
            done(self.is_connected)

    def _jitter(self) -> float:
        return self.generator.uniform(*RECHECK_JITTER)


@dataclass(slots=True)
class _Round:
    probed: int
    started_at: float
    contact_age: float
    is_idle_check: bool
    accepted: int = 0
    failed: int = 0
    has_ended: bool = False
