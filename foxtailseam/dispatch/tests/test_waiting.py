"""Tests of requests that wait for searchers, and of the passes that admit them."""

import itertools
import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailseam.clocks import ManualClock
from foxtailseam.dispatch import GatherQuery, NotAnswered, SingleQuery
from foxtailseam.dispatch._waiting_requests import CHECK_SECONDS, WaitingRequests
from foxtailseam.dispatch.tests._stubs import (
    LIMIT_HEADER,
    StubService,
    make_plan,
    make_route,
    make_times,
)
from foxtailseam.routing import AllShards
from foxtailseam_bench.simulation import VirtualTime

MAX_READINGS = 10_000


class SteppingClock(ManualClock):
    """Clock that advances by `step` seconds at each reading; too many are an error."""

    def __init__(self):
        super().__init__()
        self.step = 0.0
        self.seconds = 0.0
        self.readings = itertools.count()

    def monotonic(self):
        assert next(self.readings) < MAX_READINGS
        self.seconds += self.step
        return self.seconds


def start_single(service, results):
    now = service.dispatcher.clock.monotonic()
    query = SingleQuery(
        service.dispatcher,
        make_plan(make_route(), now),
        make_times(now),
        results.append,
    )
    query.start()
    return query


class TestPass:
    def test_pass_ends_though_a_token_comes_back_and_requests_wait_again(self):
        clock, results = SteppingClock(), []
        service = StubService(clock, timers=VirtualTime())
        (pool,) = service.pools.values()
        start_single(service, results)
        pool.has_capacity = False
        for _ in range(20):
            start_single(service, results)
        clock.step = 0.001
        # Fewer tokens than one are left, and they come back during the pass.
        pool.exchanges[0].answer(200, (LIMIT_HEADER, b"100"), (b"stamp", b"1"))
        assert len(results) <= 21

    def test_refusals_that_end_further_queries_do_not_nest(self):
        time, results = VirtualTime(), []
        service = StubService(time, ("a", "b"))
        pools = {name[0]: pool for name, pool in service.pools.items()}
        route = make_route(AllShards(("a", "b"), 1, 1.0))
        plans = make_plan(route).for_services(("a", "b"))
        # Each query has an attempt at one service and waits for the other one.
        for number in range(400):
            pools["a"].has_capacity = number % 2 == 0
            pools["b"].has_capacity = number % 2 == 1
            query = GatherQuery(
                service.dispatcher,
                plans,
                route.destination,
                make_times(),
                results.append,
            )
            query.start()
        for name in pools:
            service.set_limit(name, 0.0)
        service.dispatcher.update_searcher(service.entries["a-0"])
        time.run_until(0.01)
        assert len(results) == 400
        assert all(isinstance(result, NotAnswered) for result in results)

    def test_deferred_shards_that_fail_at_once_do_not_nest(self):
        time, results = VirtualTime(), []
        service = StubService(time, ("a", "b"))
        # Only the first two of 1,100 shards have a searcher.
        shards = ("a", "b", *(f"none-{number}" for number in range(1_098)))
        route = make_route(AllShards(shards, 1, 2 / len(shards)))
        query = GatherQuery(
            service.dispatcher,
            make_plan(route).for_services(shards),
            route.destination,
            make_times(),
            results.append,
        )
        query.start()
        for exchange in service.exchanges:
            exchange.answer(500)
        time.run_until(0.01)
        assert isinstance(results[0], NotAnswered)

    def test_request_that_waits_for_a_token_is_admitted_once_it_is_back(self):
        time, results = VirtualTime(), []
        service = StubService(time)
        (pool,) = service.pools.values()
        pool.has_capacity = False
        start_single(service, results)
        pool.has_capacity = True
        time.run_until(2 * CHECK_SECONDS)
        assert service.sent == 1

    def test_request_behind_those_that_have_tried_what_is_free_is_admitted(self):
        time = VirtualTime()
        waiting = WaitingRequests(registry_of(True, True), time)
        admitted = []

        def wait_again():
            waiting.add("a", 0, 1.0, wait_again)

        for _ in range(10):
            waiting.add("a", 0, 1.0, wait_again)
        waiting.add("a", 1, 2.0, lambda: admitted.append(1))
        waiting.admit("a")
        time.run_until(2 * CHECK_SECONDS)
        assert admitted

    def test_request_that_raises_takes_no_others_with_it(self):
        time, admitted = VirtualTime(), []
        waiting = WaitingRequests(registry_of(True, True), time)
        waiting.add("a", 0, 1.0, lambda: 1 / 0)
        waiting.add("a", 1, 1.0, lambda: admitted.append(1))
        with pytest.raises(ZeroDivisionError):
            waiting.admit("a")
        waiting.admit("a")
        assert admitted


def registry_of(is_open, has_capacity):
    searcher = SimpleNamespace(has_capacity=has_capacity)
    return SimpleNamespace(
        usable_searchers=lambda service: (searcher,),
        open_searchers=lambda service: (searcher,) if is_open else (),
        is_evacuated=lambda service: False,
    )


class RandomRegistry:
    """Searchers whose gates and capacity change at each question, until `is_calm`."""

    def __init__(self, generator):
        self.generator = generator
        self.is_calm = False

    @property
    def has_capacity(self):
        return self.is_calm or self.generator.random() < 0.7

    def usable_searchers(self, service):
        return (self,)

    def open_searchers(self, service):
        is_open = self.is_calm or self.generator.random() < 0.7
        return (self,) if is_open else ()


class RandomRequest:
    """Waits again, asks for passes and adds others when it is admitted."""

    def __init__(self, test, generator):
        self.test = test
        self.generator = generator
        self.is_done = False
        test.requests.append(self)
        self.wait()

    def wait(self):
        service = self.generator.choice("ab")
        rank = self.generator.randrange(3)
        self.test.waiting.add(service, rank, self.generator.random(), self.on_admitted)

    def on_admitted(self):
        self.test.steps += 1
        if not self.test.registry.is_calm:
            for ask in (self.test.waiting.admit, self.test.waiting.admit_soon):
                if self.generator.random() < 0.5:
                    ask(self.generator.choice("ab"))
            if self.generator.random() < 0.2:
                RandomRequest(self.test, self.generator)
            if self.generator.random() < 0.7:
                self.wait()
                return
        self.is_done = True


class TestAnyPasses:
    @given(st.integers(0, 30), st.integers(0, 2**32))
    def test_each_pass_ends_and_nothing_is_forgotten(self, count, seed):
        generator = random.Random(seed)
        time = VirtualTime()
        test = SimpleNamespace(requests=[], steps=0)
        test.registry = RandomRegistry(generator)
        test.waiting = WaitingRequests(test.registry, time)
        for _ in range(count):
            RandomRequest(test, generator)
        for _ in range(5):
            length = sum(not request.is_done for request in test.requests)
            test.steps = 0
            test.waiting.admit(generator.choice("ab"))
            assert test.steps <= length
        test.registry.is_calm = True
        time.run_until(3 * CHECK_SECONDS)
        assert all(request.is_done for request in test.requests)


class TestFailingSend:
    def test_a_request_that_cannot_be_sent_gives_its_slot_back(self):
        results = []
        service = StubService(ManualClock(), timers=VirtualTime())
        (pool,) = service.pools.values()

        def fail(*_):
            raise RuntimeError("a fault of this host")

        pool.send = fail
        now = service.dispatcher.clock.monotonic()
        route, times = make_route(), make_times(now)
        query = SingleQuery(
            service.dispatcher, make_plan(route, now), times, results.append
        )
        with pytest.raises(RuntimeError):
            query.start()
        query.cancel()
        (searcher,) = service.dispatcher.searchers
        assert searcher.in_flight == 0
