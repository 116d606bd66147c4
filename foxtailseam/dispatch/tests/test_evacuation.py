"""Tests of requests under way when their searcher is evacuated."""

from dataclasses import replace

import pytest

from foxtailseam.dispatch import ServiceAnswer, ServiceCall, SingleQuery
from foxtailseam.dispatch.tests._stubs import (
    STAMP_HEADER,
    StubService,
    make_plan,
    make_route,
    make_times,
)
from foxtailseam_bench.simulation import VirtualTime

EVACUATED = frozenset({"d1"})


def two_domains(time, is_opening=False):
    """Return a service with a searcher in d1, of which hosts think better, and d2."""
    service = StubService(time, searchers=2)
    entry = replace(service.entries["a-1"], failure_domain="d2")
    service.dispatcher.update_searcher(entry)
    for pool in service.pools.values():
        pool.is_opening = is_opening
    return service


def start(service, results, idempotent=True, max_attempts=2):
    plan = make_plan(make_route(idempotent=idempotent, max_attempts=max_attempts))
    query = SingleQuery(service.dispatcher, plan, make_times(), results.append)
    query.start()
    return query


class TestOpeningConnections:
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_request_that_is_not_sent_goes_to_another_searcher(self, idempotent):
        time, results = VirtualTime(), []
        service = two_domains(time, is_opening=True)
        first, second = service.pools["a-0"], service.pools["a-1"]
        start(service, results, idempotent, max_attempts=1)
        assert len(first.exchanges) == 1
        assert service.dispatcher.set_evacuated(EVACUATED) == 1
        time.run_until(0.01)
        first.open_all()
        second.open_all()
        assert first.payloads == []
        assert len(second.payloads) == 1
        second.exchanges[0].answer(200, (STAMP_HEADER, b"s"))
        assert isinstance(results[0], ServiceAnswer)

    def test_request_without_another_searcher_fails_as_not_run(self):
        time, results = VirtualTime(), []
        service = two_domains(time, is_opening=True)
        start(service, results)
        service.dispatcher.set_evacuated(frozenset({"d1", "d2"}))
        time.run_until(0.01)
        for pool in service.pools.values():
            pool.open_all()
        assert service.sent == 0
        assert not results[0].may_have_run

    def test_request_that_is_sent_runs_to_completion(self):
        time, results = VirtualTime(), []
        service = two_domains(time)
        start(service, results, idempotent=False)
        assert service.dispatcher.set_evacuated(EVACUATED) == 0
        (exchange,) = service.pools["a-0"].exchanges
        exchange.answer(200, (STAMP_HEADER, b"s"))
        assert isinstance(results[0], ServiceAnswer)
        assert service.sent == 1

    def test_request_that_ended_is_not_withdrawn(self):
        time = VirtualTime()
        service = two_domains(time, is_opening=True)
        query = start(service, [])
        query.cancel()
        assert service.dispatcher.set_evacuated(EVACUATED) == 0
        time.run_until(0.01)
        assert service.pools["a-1"].exchanges == []

    def test_all_are_withdrawn_though_one_fails_to_be_sent_again(self, monkeypatch):
        time = VirtualTime()
        service = two_domains(time, is_opening=True)
        for _ in range(3):
            start(service, [])
        monkeypatch.setattr(ServiceCall, "_on_withdrawn", lambda call: 1 / 0)
        assert service.dispatcher.set_evacuated(EVACUATED) == 3
        service.pools["a-0"].open_all()
        assert service.pools["a-0"].payloads == []


class TestExtraRequests:
    def test_neither_hedge_nor_retry_goes_to_an_evacuated_searcher(self):
        time, results = VirtualTime(), []
        service = two_domains(time)
        service.dispatcher.set_evacuated(frozenset({"d2"}))
        start(service, results)
        time.run_until(0.3)
        service.pools["a-0"].exchanges[0].answer(500)
        time.run_until(0.5)
        assert len(results) == 1
        assert service.pools["a-1"].exchanges == []


class TestUsableSearchers:
    def test_they_follow_the_evacuated_domains(self):
        service = two_domains(VirtualTime())
        dispatcher = service.dispatcher

        def usable():
            return [item.identifier for item in dispatcher.usable_searchers("a")]

        assert usable() == ["a-0", "a-1"]
        dispatcher.set_evacuated(EVACUATED)
        assert usable() == ["a-1"]
        assert dispatcher.evacuated_searchers == 1
        assert not dispatcher.is_evacuated("a")
        dispatcher.update_searcher(replace(service.entries["a-1"], is_draining=True))
        assert usable() == []
        dispatcher.set_evacuated(frozenset())
        assert usable() == ["a-0"]

    def test_a_searcher_that_joins_an_evacuated_domain_is_not_used(self):
        service = two_domains(VirtualTime())
        dispatcher = service.dispatcher
        dispatcher.set_evacuated(EVACUATED)
        entry = replace(service.entries["a-0"], identifier="a-2", address="a-2")
        dispatcher.update_searcher(entry)
        assert [i.identifier for i in dispatcher.usable_searchers("a")] == ["a-1"]

    def test_a_service_that_only_lacks_searchers_is_not_evacuated(self):
        service = two_domains(VirtualTime())
        service.dispatcher.set_evacuated(frozenset({"elsewhere"}))
        for name in ("a-0", "a-1"):
            service.dispatcher.remove_searcher(name)
        assert not service.dispatcher.is_evacuated("a")
