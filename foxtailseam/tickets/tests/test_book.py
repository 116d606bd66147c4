"""Tests of tickets: at most one run, over every interleaving."""

import itertools
from datetime import timedelta

from foxtailseam.clocks import ManualClock
from foxtailseam.outcomes import Accepted, RefusalReason, Refused, Unknown
from foxtailseam.tickets import TicketRegistry, parse_ticket

LIFE = timedelta(seconds=60)


def new_book(clock, incarnation="0" * 24):
    return TicketRegistry("127.0.0.1:1", incarnation, clock, LIFE)


class TestTicketBook:
    def test_a_ticket_starts_once(self):
        book = new_book(ManualClock())
        ticket = book.mint("letters")
        assert book.start(ticket, "r1", "letters", "x").is_ok()
        assert isinstance(book.start(ticket, "r2", "letters", "x").err(), Unknown)
        book.finish(ticket, Accepted("r1", "receipt"))
        again = book.start(ticket, "r3", "letters", "x")
        assert again.err() == Accepted("r3", "receipt")

    def test_a_refused_run_gives_the_ticket_back(self):
        book = new_book(ManualClock())
        ticket = book.mint("letters")
        book.start(ticket, "r1", "letters", "x")
        book.finish(ticket, Refused("r1", RefusalReason.SHED, None))
        assert book.start(ticket, "r2", "letters", "x").is_ok()

    def test_an_unknown_run_never_runs_again(self):
        book = new_book(ManualClock())
        ticket = book.mint("letters")
        book.start(ticket, "r1", "letters", "x")
        book.finish(ticket, Unknown("r1", "?"))
        assert isinstance(book.start(ticket, "r2", "letters", "x").err(), Unknown)

    def test_a_ticket_of_another_incarnation_never_runs(self):
        clock = ManualClock()
        ticket = new_book(clock).mint("letters")
        other = new_book(clock, "1" * 24)
        assert isinstance(other.start(ticket, "r", "letters", "x").err(), Unknown)

    def test_a_late_ticket_is_refused(self):
        clock = ManualClock()
        book = new_book(clock)
        ticket = book.mint("letters")
        clock.advance(LIFE)
        refusal = book.start(ticket, "r", "letters", "x").err()
        assert refusal.reason is RefusalReason.TICKET_EXPIRED

    def test_a_forgotten_ticket_never_runs(self):
        clock = ManualClock()
        book = new_book(clock)
        ticket = book.mint("letters")
        clock.advance(LIFE * 11)
        book.mint("letters")
        assert isinstance(book.start(ticket, "r", "letters", "x").err(), Unknown)

    def test_a_ticket_serves_one_content_only(self):
        book = new_book(ManualClock())
        ticket = book.mint("letters")
        book.start(ticket, "r1", "letters", "x")
        book.finish(ticket, Refused("r1", RefusalReason.SHED, None))
        assert book.start(ticket, "r2", "letters", "other").is_err()

    def test_text_form_round_trip(self):
        ticket = new_book(ManualClock()).mint("letters")
        assert parse_ticket(str(ticket)) == ticket
        assert parse_ticket("nonsense") is None

    def test_no_interleaving_runs_twice(self):
        """Explore every order of six events, with crashes and pauses."""
        events = ("send", "send", "ran", "not-run", "lost", "crash", "pause")
        for order in itertools.product(events, repeat=6):
            assert self._runs(order) <= 1, order

    def _runs(self, order):
        clock = ManualClock()
        book = new_book(clock)
        ticket = book.mint("letters")
        running, runs = False, 0
        for event in order:
            if event == "send":
                running = book.start(ticket, "r", "letters", "x").is_ok() or running
            elif event == "crash":
                runs += running
                running = False
                book = new_book(clock, "2" * 24)
            elif event == "pause":
                clock.advance(LIFE)
            elif running:
                running = False
                runs += event in ("ran", "lost")
                outcomes = {
                    "ran": Accepted("r", "receipt"),
                    "not-run": Refused("r", RefusalReason.SHED, None),
                    "lost": Unknown("r", "?"),
                }
                book.finish(ticket, outcomes[event])
        return runs + running
