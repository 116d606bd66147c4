"""Searchers, connections and requests that tests of the dispatch package control."""

import random
from datetime import timedelta
from types import SimpleNamespace

from foxtailseam.catalogue import SearcherEntry
from foxtailseam.dispatch import (
    AnswerMetadata,
    BudgetSettings,
    CallPlan,
    Dispatcher,
    QueryTimes,
)
from foxtailseam.http import HttpRequest, HttpResponse, Received
from foxtailseam.metrics import Metrics
from foxtailseam.routing import OneService, Route

LIMIT_HEADER = b"limit"
NOT_RUN_HEADER = b"not-run"
STAMP_HEADER = b"stamp"
TIMEOUT_SECONDS = 1.0


def read_answer(status, headers):
    found = dict(headers)
    limit = found.get(LIMIT_HEADER)
    return AnswerMetadata(
        found.get(STAMP_HEADER, b""),
        NOT_RUN_HEADER in found or status == 421,
        status == 421,
        None if limit is None else float(limit),
    )


class StubExchange:
    """Exchange that is sent once its connection opens, unless it was cancelled."""

    def __init__(self, pool, payload, done):
        self.pool = pool
        self.payload = payload
        self.done = done
        self.is_sent = False
        self.is_cancelled = False

    def open(self):
        if not (self.is_sent or self.is_cancelled or self.done is None):
            self.is_sent = True
            self.payload_sent = self.payload()
            self.pool.payloads.append(self.payload_sent)

    def cancel(self):
        self.is_cancelled = True
        self.done = None

    def finish(self, result):
        done, self.done = self.done, None
        if done is not None:
            done(result)

    def answer(self, status, *headers, body=b""):
        self.finish(Received(HttpResponse(status, headers, body)))


class StubPool:
    """Implements `SearcherPool`; connections open at once unless `is_opening`."""

    def __init__(self, limit=1_000):
        self.limit = limit
        self.has_idle = True
        self.has_capacity = True
        self.is_opening = False
        self.exchanges = []
        self.payloads = []

    def send(self, payload, identifier, is_head, done):
        exchange = StubExchange(self, payload, done)
        self.exchanges.append(exchange)
        if not self.is_opening:
            exchange.open()
        return exchange

    def open_all(self):
        for exchange in self.exchanges:
            exchange.open()

    def probe(self, done):
        pass

    def connect(self, timeout, done):
        pass

    def retire(self):
        pass


class StubService:
    """Dispatcher with one stub searcher for each service.

    `clock` is also used for the timers unless others are given.
    """

    def __init__(self, clock, services=("a",), slots=1_000, timers=None, searchers=1):
        self.pools = {}
        self.entries = {}
        self.dispatcher = Dispatcher(
            clock,
            timers or clock,
            self._open_pool,
            read_answer,
            BudgetSettings(10.0, 1_000.0, timedelta(seconds=10)),
            "d1",
            Metrics(),
            random.Random(1),
        )
        for service in services:
            for number in range(searchers):
                name = f"{service}-{number}"
                self.entries[name] = SearcherEntry(
                    name, service, name, "d1", slots, False, timedelta(), 1
                )
                self.dispatcher.update_searcher(self.entries[name])

    def _open_pool(self, address, limit):
        self.pools[address] = StubPool()
        return self.pools[address]

    @property
    def exchanges(self):
        return [item for pool in self.pools.values() for item in pool.exchanges]

    @property
    def sent(self):
        return sum(len(pool.payloads) for pool in self.pools.values())

    def set_limit(self, service, rate):
        searcher = next(
            item for item in self.dispatcher.searchers if item.entry.service == service
        )
        metadata = AnswerMetadata(b"", False, False, rate_limit=rate)
        self.dispatcher.record_conditions(searcher, metadata)


def make_route(destination=None, idempotent=True, max_attempts=2):
    return Route(
        "read",
        "a.example",
        "/",
        idempotent,
        timedelta(seconds=TIMEOUT_SECONDS),
        timedelta(milliseconds=500),
        max_attempts,
        1,
        destination or OneService("a"),
    )


def make_plan(route, now=0.0, service="a"):
    template = SimpleNamespace(render=lambda remaining, searcher: b"request")
    request = HttpRequest(b"GET", b"/", (), b"", now, None)
    return CallPlan(service, route, request, template, b"1", now + TIMEOUT_SECONDS)


def make_times(now=0.0):
    return QueryTimes(now, now + 0.4, now + 0.5, now + 0.6, now + TIMEOUT_SECONDS)
