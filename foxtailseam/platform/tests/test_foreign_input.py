"""Property tests: decoders of the platform's formats take any bytes."""

import asyncio
import base64
import random
from datetime import timedelta

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from foxtailseam.catalogue import Catalogue
from foxtailseam.clocks import ManualClock
from foxtailseam.front._timing import TimingSettings, query_times
from foxtailseam.http import HttpRequest, HttpResponse
from foxtailseam.platform import (
    PlatformRequestTemplate,
    PlatformStore,
    decode_configuration,
    decode_entry,
    decode_settings,
    parse_request_headers,
    parse_response_headers,
)
from foxtailseam.platform._store import _PROBE_QUERY
from foxtailseam.platform.tests.test_decoding import ENTRY, ROUTE, SETTINGS, text
from foxtailseam.routing import RouteTable, WeightedRoundRobin, WeightedServices
from foxtailseam.store import (
    MAX_REVISION_STEP,
    UNCONFIRMED_ERA,
    Listing,
    Position,
    StoreFailure,
    WatchResult,
)
from foxtailseam.utils.tests._odd_documents import EXAMPLES, json_documents

MAX_PROBLEM_LENGTH = 500
CONFIGURATION = {
    "version": 7,
    "routes": [
        ROUTE | {"service": "s"},
        ROUTE | {"weighted_backends": [{"service": "a", "weight": 3}]},
        ROUTE | {"gather": ["a", "b"], "top_k": 5, "min_version": 0.75},
    ],
    "services": [{"name": "s", "max_conns": 25}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 262_144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
}
REQUEST = HttpRequest(b"GET", b"/p/", (), b"", 0.0)


class IgnoredEvents:
    def searcher_changed(self, entry):
        pass

    def searcher_lapsed(self, identifier, is_lapsed):
        pass

    def searcher_removed(self, identifier):
        pass


def check_problem(result):
    assert len(str(result.unwrap_err())) <= MAX_PROBLEM_LENGTH


class TestEntries:
    # Guards against: an entry that cannot be read raises in the hosts that read it.
    @EXAMPLES
    @example(b'{"a":' * 1500, "i-1")
    @example(text(ENTRY | {"warmup_left_ms": 1e18}), "i-1")
    @example(text(ENTRY | {"address": "10.0.0.1:" + "9" * 5000}), "i-1")
    @example(text(ENTRY), "i-1\r\nSmuggled: 1")
    @given(json_documents(ENTRY), st.sampled_from(["i-1", "", "a b", "é", "i" * 300]))
    def test_any_bytes_give_a_usable_entry_or_a_problem(self, value, identifier):
        result = decode_entry(identifier, value)
        if result.is_err():
            check_problem(result)
            return
        entry = result.unwrap()
        Catalogue(ManualClock(), IgnoredEvents()).upsert(entry)
        head = PlatformRequestTemplate(REQUEST).render(1.0, entry.identifier)
        assert head.count(b"\r\n") == 4
        host, _, port = entry.address.rpartition(":")
        assert host.count(".") == 3
        assert 0 < int(port) < 65_536
        assert timedelta() <= entry.warmup <= timedelta(days=365)
        assert 0 <= entry.started_ms < 2**63
        msgspec.json.encode(entry)


class TestConfiguration:
    @EXAMPLES
    @example(b"[" * 100_000)
    @example(text(CONFIGURATION | {"version": 10**30}))
    @example(text({"version": 1, "routes": [ROUTE | {"timeout_ms": 1e300}]}))
    @given(json_documents(CONFIGURATION))
    def test_any_bytes_give_a_usable_configuration_or_a_problem(self, value):
        result = decode_configuration(value)
        if result.is_err():
            check_problem(result)
            return
        configuration = result.unwrap()
        assert configuration.version < 2**63
        routes = RouteTable(configuration.routes)
        routes.find("a.example", "/p/q")
        for route in configuration.routes:
            self.check_route(route)
        for service in configuration.services:
            assert 0 <= service.max_connections < 2**31
        limits = configuration.limits
        assert limits.header_bytes > 0
        assert limits.body_bytes >= 0
        assert limits.header_timeout > timedelta()
        assert limits.idle_timeout >= timedelta()

    def check_route(self, route):
        assert route.timeout > timedelta()
        assert route.latency_goal > timedelta()
        assert 1 <= route.max_attempts < 2**31
        assert route.prefix.startswith("/")
        assert route.prefix.endswith("/")
        query_times(route, 0.0, None, None, TimingSettings())
        match route.destination:
            case WeightedServices(weights=weights):
                assert all(service for service, _ in weights)
                robin = WeightedRoundRobin(route.destination, random.Random(1))
                chosen = [robin.next() for _ in range(3)]
                assert any(chosen) is any(weight for _, weight in weights)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("timeout_ms", 0),
            ("timeout_ms", -1),
            ("latency_goal_ms", -0.5),
            ("max_attempts", -1),
            ("max_attempts", 10**30),
            ("priority", 10**30),
            ("path_prefix", "p"),
            ("path_prefix", "/p"),
            ("path_prefix", ""),
            ("service", ""),
            ("weighted_backends", [{"service": "a", "weight": -1}]),
            ("weighted_backends", [{"service": "a", "weight": 1e300}]),
            ("weighted_backends", [{"weight": 1}]),
            ("gather", ["a", ""]),
            ("gather", ["a", "a"]),
            ("top_k", -1),
            ("top_k", 10**30),
            ("min_version", 1.1),
            ("min_version", -0.1),
        ],
        ids=str,
    )
    def test_the_problem_names_field_value_and_range(self, field, value):
        document = {"version": 7, "routes": [ROUTE, ROUTE | {field: value}]}
        problem = decode_configuration(text(document)).unwrap_err()
        assert problem.parameter.startswith(f"op/config.routes[1].{field}")
        assert problem.found
        assert problem.expected

    @pytest.mark.parametrize(
        "change",
        [
            {"max_attempts": 0},
            {"latency_goal_ms": 0},
            {"priority": -3},
            {"name": ""},
            {"host": ""},
            {"host": "ä b:1"},
            {"weighted_backends": [{"service": "a", "weight": 0}]},
            {"weighted_backends": [{"name": "a", "weight": 0.001}]},
            {"gather": ["a"], "top_k": 0},
            {"a_later_field": {"deep": [[]]}},
        ],
        ids=str,
    )
    def test_what_can_be_used_is_accepted(self, change):
        document = {"version": 7, "routes": [ROUTE, ROUTE | change], "limits": {}}
        assert decode_configuration(text(document)).is_ok()


class TestSettings:
    @EXAMPLES
    @example(text(SETTINGS | {"bounds": {"grace_s": 1e300}}))
    @example(b"\xff\xfe" + text(SETTINGS))
    @given(json_documents(SETTINGS))
    def test_any_bytes_give_usable_settings_or_a_problem(self, value):
        result = decode_settings(value)
        if result.is_err():
            check_problem(result)
            return
        settings = result.unwrap()
        assert settings.bounds.shutdown_grace >= timedelta()
        assert settings.bounds.retry_window > timedelta()
        assert settings.bounds.retry_ratio >= 0
        assert settings.limits.memory_mb >= 1
        addresses = (
            settings.callers,
            settings.readiness,
            settings.peers,
            settings.service_address,
            *settings.seeds,
        )
        for address in addresses:
            host, _, port = address.rpartition(":")
            assert host.count(".") == 3
            assert 0 < int(port) < 65_536

    def test_a_seed_that_is_no_address_is_left_out(self):
        document = SETTINGS | {"seeds": ["10.2.0.1:3", "host:1", "10.2.0.1:99999"]}
        settings = decode_settings(text(document)).unwrap()
        assert settings.seeds == ("10.2.0.1:3",)


class TestHeaders:
    NAMES = (
        b"Foxtailseam-Request-Id",
        b"Foxtailseam-Deadline-Ms",
        b"Foxtailseam-Server-Stamp",
        b"Server-Limit",
        b"Server-Leaving",
        b"Retry-After",
    )
    VALUES = st.one_of(
        st.binary(max_size=30),
        st.floats().map(lambda value: repr(value).encode()),
        st.sampled_from(
            [b"9" * 5000, b"-" + b"9" * 5000, b"1e300", b"1e-320", b"nan", b"-inf"]
        ),
    )

    @EXAMPLES
    @given(
        st.lists(st.tuples(st.sampled_from(NAMES), VALUES)).map(tuple),
        st.sampled_from([200, 421, 429, 503]),
    )
    def test_any_values_are_parsed(self, headers, status):
        request = parse_request_headers(headers)
        if request.remaining is not None:
            assert abs(request.remaining) <= timedelta(days=12)
        answer = parse_response_headers(status, headers)
        if answer.pause is not None:
            assert timedelta() <= answer.pause <= timedelta(hours=1)
        if answer.rate_limit is not None:
            # Its interval can be computed and logged.
            assert answer.rate_limit == 0 or 1e-6 <= answer.rate_limit < 1e9


ITEM = {"key": "servers/i-1", "revision": 5, "value": base64.b64encode(b"1").decode()}
PAGE = {"items": [ITEM, ITEM | {"revision": 6}], "current_rev": 7, "has_more": False}
EVENTS = {"events": [ITEM, ITEM | {"removed": True, "revision": 8}], "current_rev": 8}


class AnsweredStore(PlatformStore):
    """Client of a store whose responses are given.

    Its responses to being asked for keys that nobody writes name `era` and `revision`,
    or else are those before.
    """

    def __init__(self, *responses, era=None, revision=None):
        super().__init__("127.0.0.1:1", ManualClock())
        self.responses = list(responses)
        self.era = era
        self.revision = revision
        self.probe = None
        self._last = None

    async def _exchange(self, path, query, timeout):
        if query != _PROBE_QUERY:
            self._last = self.responses.pop(0)
            return self._last
        if self.era is None and self.revision is None:
            return self.probe or self._last
        body = text({"items": [], "current_rev": self.revision or 9})
        return response(body, self.era or b"1")


def response(body, era=b"1"):
    return HttpResponse(200, ((b"Store-Era", era),), body)


def page(revision, *revisions):
    items = [ITEM | {"key": f"k{r}", "revision": r} for r in revisions]
    return response(text({"items": items, "current_rev": revision}))


def events(revision, *revisions):
    items = [ITEM | {"key": f"k{r}", "revision": r} for r in revisions]
    return response(text({"events": items, "current_rev": revision}))


class TestStoreAnswers:
    ERAS = st.sampled_from([b"1", b"-1", b"", b"9" * 18, b"9" * 5000, b"\xb2", b"1.5"])

    @EXAMPLES
    @example(text(PAGE | {"current_rev": 10**30}), b"1")
    @example(b"[" * 100_000, b"1")
    @given(json_documents(PAGE), ERAS)
    def test_any_page_gives_a_listing_or_a_failure(self, body, era):
        store = AnsweredStore(response(body, era), response(b""))
        match asyncio.run(store.list_items()):
            case Listing(items=items, position=position):
                assert position.revision < 2**63
                for item in items:
                    self.check_revision(item, position)
            case StoreFailure(reason=reason):
                assert len(reason) <= 100

    @EXAMPLES
    @example(text(EVENTS | {"current_rev": -1}), b"1")
    @given(json_documents(EVENTS), ERAS)
    def test_any_events_give_a_result_or_a_failure(self, body, era):
        store = AnsweredStore(response(body, era))
        after = Position(1, 4)
        match asyncio.run(store.watch(after, timedelta(seconds=1))):
            case WatchResult(changes=changes, position=position):
                assert position.revision < 2**63
                for change in changes:
                    self.check_revision(change, position)
            case StoreFailure(reason=reason):
                assert len(reason) <= 100

    def check_revision(self, change, position):
        # An item may have been written after the revision was read.
        max_revision = position.revision + MAX_REVISION_STEP
        assert 0 <= change.position.revision <= max_revision

    def test_one_garbled_revision_does_not_move_the_position(self):
        # All later changes would count as known.
        store = AnsweredStore(
            page(9, 7, 8), events(4_000_000_000_000), events(10, 10), events(11, 11)
        )
        listing = asyncio.run(store.list_items())
        assert listing.position == Position(1, 9)
        results = [
            asyncio.run(store.watch(listing.position, timedelta())) for _ in range(3)
        ]
        assert isinstance(results[0], StoreFailure)
        assert [r.position.revision for r in results[1:]] == [10, 11]

    def test_a_jump_of_the_revision_is_believed_when_a_second_answer_confirms_it(self):
        store = AnsweredStore(
            page(9, 8), events(4_000_000_000_000), events(4_000_000_000_003)
        )
        listing = asyncio.run(store.list_items())
        results = [
            asyncio.run(store.watch(listing.position, timedelta())) for _ in range(2)
        ]
        assert isinstance(results[0], StoreFailure)
        # The one that both name.
        assert results[1].position == Position(1, 4_000_000_000_000)

    # Guards against: a revision that is a little too high is believed for ever, so that
    # this host lists again and again and those that follow it miss all changes.
    def test_a_revision_that_is_a_little_too_high_does_not_move_the_position(self):
        store = AnsweredStore(page(9, 8), events(900_000), events(10, 10), events(12))
        listing = asyncio.run(store.list_items())
        results = [
            asyncio.run(store.watch(listing.position, timedelta())) for _ in range(3)
        ]
        assert [r.position.revision for r in results] == [9, 10, 10]

    # Guards against: the same, by the page of a listing.
    def test_a_listing_whose_revision_is_a_little_too_high_is_of_the_real_one(self):
        store = AnsweredStore(page(900_000, 8), revision=9)
        assert asyncio.run(store.list_items()).position == Position(1, 9)

    def test_a_revision_without_changes_counts_once_two_answers_name_it(self):
        store = AnsweredStore(page(9, 8), *[events(12)] * 2, events(14))
        listing = asyncio.run(store.list_items())
        results = [
            asyncio.run(store.watch(listing.position, timedelta())) for _ in range(3)
        ]
        assert [r.position.revision for r in results] == [9, 12, 12]

    def test_a_listing_without_a_second_answer_is_of_its_newest_item(self):
        store = AnsweredStore(page(900_000, 7, 8))
        store.probe = HttpResponse(503, ((b"Store-Era", b"1"),), b"")
        assert asyncio.run(store.list_items()).position == Position(1, 8)

    def test_a_page_without_items_does_not_end_a_listing_that_has_more(self):
        # The keys of the missing pages would count as removed.
        empty = text({"items": [], "current_rev": 9, "has_more": True})
        store = AnsweredStore(response(empty))
        assert isinstance(asyncio.run(store.list_items()), StoreFailure)

    def test_the_only_item_does_not_confirm_the_revision_of_a_listing(self):
        store = AnsweredStore(*(page(4_000_000_000_000 + n) for n in range(2)))
        results = [asyncio.run(store.list_items()) for _ in range(2)]
        assert isinstance(results[0], StoreFailure)
        assert results[1].position == Position(1, 4_000_000_000_001)

    def test_a_revision_near_those_of_the_items_needs_no_confirmation(self):
        revision = 4_000_000_000_000
        store = AnsweredStore(page(revision, revision - 5, revision - 1))
        assert asyncio.run(store.list_items()).position == Position(1, revision)

    def test_a_last_page_with_one_item_needs_no_confirmation(self):
        revision = 4_000_000_000_000
        first = {"items": [ITEM | {"key": f"k{n}"} for n in range(2)]}
        first["items"] = [item | {"revision": revision} for item in first["items"]]
        first |= {"current_rev": revision, "has_more": True}
        store = AnsweredStore(response(text(first)), page(revision, 7))
        assert asyncio.run(store.list_items()).position == Position(1, revision)

    def test_a_confirmed_revision_needs_no_further_confirmation(self):
        revision = 4_000_000_000_000
        store = AnsweredStore(*(page(revision + n) for n in range(3)))
        results = [asyncio.run(store.list_items()) for _ in range(3)]
        kinds = [type(result) for result in results]
        assert kinds == [StoreFailure, Listing, Listing]

    # Guards against: a response that takes longer than the timeout is asked for again
    # and again, so that no change gets through.
    def test_a_watch_that_times_out_twice_is_likely_to_do_so_again(self):
        timeout = StoreFailure("timeout")
        store = AnsweredStore(
            page(9, 8), timeout, timeout, events(10, 10), timeout, timeout, timeout
        )
        position = asyncio.run(store.list_items()).position
        results = []
        for _ in range(6):
            results.append(asyncio.run(store.watch(position, timedelta())))
            if isinstance(results[-1], WatchResult):
                position = results[-1].position
        repeats = [
            result.would_repeat
            for result in results
            if isinstance(result, StoreFailure)
        ]
        assert repeats == [False, True, False, True, True]

    @pytest.mark.parametrize("era", [b"2", b"4"])
    def test_a_later_era_is_believed_when_a_second_answer_confirms_it(self, era):
        later = response(text({"events": [], "current_rev": 9}), era)
        store = AnsweredStore(page(9, 8), later, later)
        listing = asyncio.run(store.list_items())
        results = []
        for confirmed_era in (b"1", era):
            store.era = confirmed_era
            results.append(asyncio.run(store.watch(listing.position, timedelta())))
        assert results[0] == StoreFailure(UNCONFIRMED_ERA)
        assert results[1].position == Position(int(era), 9)

    # Guards against: one answer that names another era makes all later ones unusable.
    @pytest.mark.parametrize("odd_era", [b"2", b"900", b"900000000000"])
    def test_one_garbled_first_era_does_not_outdate_all_later_answers(self, odd_era):
        odd = response(text({"items": [], "current_rev": 9}), odd_era)
        store = AnsweredStore(odd, page(9, 8), era=b"1")
        results = [asyncio.run(store.list_items()) for _ in range(2)]
        assert results[0] == StoreFailure(UNCONFIRMED_ERA)
        assert results[1].position == Position(1, 9)

    # Guards against: the same, by an answer in the middle of a run.
    @pytest.mark.parametrize("odd_era", [b"2", b"900000000000"])
    def test_one_garbled_era_does_not_outdate_all_later_answers(self, odd_era):
        store = AnsweredStore(
            page(9, 8),
            response(text({"events": [], "current_rev": 9}), odd_era),
            events(10, 10),
            era=b"1",
        )
        listing = asyncio.run(store.list_items())
        results = [
            asyncio.run(store.watch(listing.position, timedelta())) for _ in range(2)
        ]
        assert isinstance(results[0], StoreFailure)
        assert results[1].position == Position(1, 10)
