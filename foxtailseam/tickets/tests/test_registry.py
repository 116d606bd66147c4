"""Tests of tickets, including the guarantee of at most one run."""

import itertools
from datetime import timedelta

from foxtailseam.clocks import ManualClock
from foxtailseam.outcomes import Accepted, RefusalReason, Refused, Unknown
from foxtailseam.tickets import TicketRegistry, parse_ticket

LIFETIME = timedelta(seconds=60)


def new_registry(clock, incarnation="0" * 24):
    return TicketRegistry("127.0.0.1:1", incarnation, clock, LIFETIME)


class TestTicketRegistry:
    def test_a_ticket_starts_once(self):
        registry = new_registry(ManualClock())
        ticket = registry.mint("letters")
        assert registry.start(ticket, "r1", "letters", "x").is_ok()
        assert isinstance(registry.start(ticket, "r2", "letters", "x").err(), Unknown)
        registry.finish(ticket, Accepted("r1", "receipt"))
        again = registry.start(ticket, "r3", "letters", "x")
        assert again.err() == Accepted("r3", "receipt")

    def test_a_ticket_can_start_again_after_a_refused_run(self):
        registry = new_registry(ManualClock())
        ticket = registry.mint("letters")
        registry.start(ticket, "r1", "letters", "x")
        registry.finish(ticket, Refused("r1", RefusalReason.SHED, None))
        assert registry.start(ticket, "r2", "letters", "x").is_ok()

    def test_a_ticket_with_an_unknown_outcome_never_runs_again(self):
        registry = new_registry(ManualClock())
        ticket = registry.mint("letters")
        registry.start(ticket, "r1", "letters", "x")
        registry.finish(ticket, Unknown("r1", "?"))
        assert isinstance(registry.start(ticket, "r2", "letters", "x").err(), Unknown)

    def test_a_ticket_of_another_incarnation_never_runs(self):
        clock = ManualClock()
        ticket = new_registry(clock).mint("letters")
        other = new_registry(clock, "1" * 24)
        assert isinstance(other.start(ticket, "r", "letters", "x").err(), Unknown)

    def test_an_expired_ticket_is_refused(self):
        clock = ManualClock()
        registry = new_registry(clock)
        ticket = registry.mint("letters")
        clock.advance(LIFETIME)
        refusal = registry.start(ticket, "r", "letters", "x").err()
        assert refusal.reason is RefusalReason.TICKET_EXPIRED

    def test_a_removed_ticket_never_runs(self):
        clock = ManualClock()
        registry = new_registry(clock)
        ticket = registry.mint("letters")
        clock.advance(LIFETIME * 11)
        registry.mint("letters")
        assert isinstance(registry.start(ticket, "r", "letters", "x").err(), Unknown)

    def test_a_ticket_is_valid_for_one_content_only(self):
        registry = new_registry(ManualClock())
        ticket = registry.mint("letters")
        registry.start(ticket, "r1", "letters", "x")
        registry.finish(ticket, Refused("r1", RefusalReason.SHED, None))
        assert registry.start(ticket, "r2", "letters", "other").is_err()

    def test_text_representation_round_trip(self):
        ticket = new_registry(ManualClock()).mint("letters")
        assert parse_ticket(str(ticket)) == ticket
        assert parse_ticket("nonsense") is None

    def test_no_interleaving_runs_twice(self):
        """Try every sequence of six events, crashes and pauses included."""
        events = ("send", "send", "ran", "not-run", "lost", "crash", "pause")
        for order in itertools.product(events, repeat=6):
            assert self._runs(order) <= 1, order

    def _runs(self, order):
        clock = ManualClock()
        registry = new_registry(clock)
        ticket = registry.mint("letters")
        running, runs = False, 0
        for event in order:
            if event == "send":
                running = registry.start(ticket, "r", "letters", "x").is_ok() or running
            elif event == "crash":
                runs += running
                running = False
                registry = new_registry(clock, "2" * 24)
            elif event == "pause":
                clock.advance(LIFETIME)
            elif running:
                running = False
                runs += event in ("ran", "lost")
                outcomes = {
                    "ran": Accepted("r", "receipt"),
                    "not-run": Refused("r", RefusalReason.SHED, None),
                    "lost": Unknown("r", "?"),
                }
                registry.finish(ticket, outcomes[event])
        return runs + running
