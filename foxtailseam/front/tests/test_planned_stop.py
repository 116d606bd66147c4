"""Planned stops beside callers of many kinds: each request read gets an answer."""

import asyncio
import signal

from foxtailseam.front.tests._cut_hosts import (
    open_relays,
    runs,
    start_cut_host,
    wait_until_running,
)
from foxtailseam.front.tests._deployment import (
    GRACE_SECONDS,
    gather_route,
    single_route,
)
from foxtailseam.front.tests._stopping import NO_ANSWER, NOT_RUN, Stop, StopCaller
from foxtailseam_bench.platform_deployment import eventually

LONG_MS = 20_000


def configure_long_routes(deployment):
    """Publish routes whose timeouts are longer than the grace of a stop."""
    deployment.configure(
        gather_route(timeout_ms=LONG_MS),
        single_route("read", "idempotent", timeout_ms=LONG_MS),
        single_route("book", "non_idempotent", timeout_ms=LONG_MS),
    )


def set_seconds(deployment, seconds):
    for searcher in deployment.searchers.values():
        searcher.seconds = seconds


async def start_host(deployment, number=1, seeds=()):
    configure_long_routes(deployment)
    host = await deployment.start_host(number, seeds)
    await host.wait_until_ready()
    return host


def check_all_answered(exchanges):
    cut = [item.name for item in exchanges if item.status == NO_ANSWER]
    assert not cut, f"{len(cut)} of {len(exchanges)} have no answer: {cut}"


def check_refused_did_not_run(deployment, exchanges):
    bodies = {body for _, _, body in runs(deployment, "single")}
    refused = {item.name for item in exchanges if item.status in NOT_RUN}
    ran = [
        item
        for item in refused
        if item.split()[1:] and item.split()[1].encode() in bodies
    ]
    assert not ran


class TestSearchersThatHang:
    def test_each_request_is_answered_by_the_end_of_the_grace(self, run_scenario):
        async def late(stop, seconds, path, body):
            await stop.at(seconds)
            caller = await stop.open()
            return await caller.ask(path, body)

        async def kept(stop, caller, seconds, body):
            await stop.at(seconds)
            return await caller.ask("/book/x", body)

        async def pipelined(caller, body):
            caller.send("/book/x", body)
            return await caller.read(f"pipelined {body.decode()}")

        async def slow_body(stop, seconds, pieces):
            """Send the body in pieces; all but the last within the grace."""
            await stop.at(seconds)
            body = f"slow{seconds}-{pieces}".encode().ljust(40, b".")
            caller = await stop.open()
            caller.send("/book/x", body, body[:1])
            answer = asyncio.create_task(caller.read(f"slow {body.decode()}"))
            size = -(-len(body) // pieces)
            for start in range(1, len(body), size):
                await asyncio.sleep(0.2)
                if answer.done():
                    break
                caller.write(body[start : start + size])
            return await answer

        async def quiet(stop, opened_at, sent_at):
            await stop.at(opened_at)
            caller = await stop.open()
            await stop.at(sent_at)
            return await caller.ask("/book/x", f"quiet{sent_at}".encode())

        async def scenario(deployment):
            host = await start_host(deployment)
            stop = Stop(host)
            kept_callers = [await stop.open() for _ in range(6)]
            for caller in kept_callers:
                assert (await caller.ask("/read/x")).status == 200
            set_seconds(deployment, 30.0)
            for number in range(24):
                stop.add(late(stop, 0, "/book/x", f"first{number}".encode()))
            for _ in range(8):
                stop.add(late(stop, 0, "/all/q", b""))
                stop.add(late(stop, 0, "/read/x", b""))
            await asyncio.sleep(0.3)
            stop.signal()
            for seconds in (0.5, 1.5, 2.0, 2.4, 2.6):
                stop.add(late(stop, seconds, "/book/x", f"late{seconds}".encode()))
                stop.add(late(stop, seconds, "/all/q", b""))
                caller = kept_callers.pop()
                stop.add(kept(stop, caller, seconds, f"kept{seconds}".encode()))
            caller = kept_callers.pop()
            for number in range(3):
                stop.add(pipelined(caller, f"pipe{number}".encode()))
                await asyncio.sleep(0)
            for seconds, pieces in ((0.5, 40), (1.0, 15), (2.5, 10), (2.5, 40)):
                stop.add(slow_body(stop, seconds, pieces))
            stop.add(quiet(stop, 2.5, 2.8))
            exchanges = await stop.exchanges()
            check_all_answered(exchanges)
            check_refused_did_not_run(deployment, exchanges)

        run_scenario(scenario)


class TestWorkThatEnds:
    def test_bodies_that_arrive_late_in_the_grace_are_served(self, run_scenario):
        async def ask(stop, seconds, done_at):
            await stop.at(seconds)
            body = f"body{seconds}-{done_at}".encode()
            caller = await stop.open()
            caller.send("/book/x", body, body[:3])
            await stop.at(done_at)
            caller.write(body[3:])
            return await caller.read(f"slow {body.decode()}")

        async def scenario(deployment):
            host = await start_host(deployment)
            set_seconds(deployment, 0.2)
            stop = Stop(host)
            stop.signal()
            for seconds, done_at in ((0.5, 3.3), (2.5, 3.3), (2.6, 4.5)):
                stop.add(ask(stop, seconds, done_at))
            exchanges = await stop.exchanges()
            assert [item.status for item in exchanges] == [200] * 3

        run_scenario(scenario)

    def test_an_answer_that_is_read_slowly_is_sent_whole(self, run_scenario):
        async def scenario(deployment):
            host = await start_host(deployment)
            for searcher in deployment.searchers.values():
                searcher.records = b"r" * 8_000_000
            stop = Stop(host)
            caller = await stop.open()
            stop.signal()
            await stop.at(2.5)
            caller.send("/read/x")
            caller.pause_reading()
            await stop.at(4.5)
            caller.resume_reading()
            stop.add(caller.read("large"))
            (exchange,) = await stop.exchanges()
            assert (exchange.status, len(exchange.body)) == (200, 8_000_000)

        run_scenario(scenario)

    def test_pipelined_requests_are_answered_before_the_connection_closes(
        self, run_scenario
    ):
        async def scenario(deployment):
            host = await start_host(deployment)
            set_seconds(deployment, 0.3)
            stop = Stop(host)
            caller = await stop.open()
            stop.signal()
            await stop.at(2.5)
            for number in range(3):
                caller.send("/book/x", f"pipe{number}".encode())
            exchanges = [await caller.read("pipelined") for _ in range(3)]
            assert [item.status for item in exchanges] == [200] * 3
            assert [item.closes for item in exchanges] == [False, False, True]
            await stop.exchanges()

        run_scenario(scenario)

    def test_it_is_served_beside_other_signals_and_a_change_of_the_configuration(
        self, run_scenario
    ):
        async def ask_often(stop, path, counts):
            caller = await stop.open()
            while True:
                exchange = await caller.ask(path, b"slot")
                counts.append(exchange.status)
                if exchange.closes or exchange.status == NO_ANSWER:
                    return exchange

        async def scenario(deployment):
            host = await start_host(deployment)
            set_seconds(deployment, 0.1)
            counts = []
            stop = Stop(host)
            for path in ("/book/x", "/read/x", "/all/q") * 4:
                stop.add(ask_often(stop, path, counts))
            await asyncio.sleep(0.3)
            stop.signal()
            await stop.at(0.5)
            deployment.configure(
                gather_route(),
                single_route("read", "idempotent"),
                single_route("book", "non_idempotent"),
                single_route("new", "idempotent"),
            )
            host.process.send_signal(signal.SIGHUP)
            await stop.at(1.0)
            host.process.send_signal(signal.SIGTERM)
            await stop.at(2.2)
            caller = await stop.open()
            assert (await caller.ask("/new/x")).status == 200
            check_all_answered(await stop.exchanges())
            assert set(counts) == {200}

        run_scenario(scenario)


class TestSeveralHosts:
    def test_hosts_that_stop_one_after_the_other_cut_nothing(self, run_scenario):
        async def ask_often(hosts, path, statuses):
            """Ask as after the balancer: a new connection where one is not open."""
            caller = None
            while hosts:
                if caller is None:
                    try:
                        caller = await StopCaller(hosts[-1]).open()
                    except ConnectionRefusedError:
                        # The last host has stopped.
                        return
                exchange = await caller.ask(path, b"slot")
                statuses.append(exchange.status)
                if exchange.closes or exchange.status == NO_ANSWER:
                    caller = None

        async def scenario(deployment):
            hosts = [await start_host(deployment)]
            seeds = (hosts[0].listen["control_plane"],)
            for number in (2, 3):
                hosts.append(await start_host(deployment, number, seeds))
            set_seconds(deployment, 0.1)
            statuses = []
            serving = list(hosts)
            callers = [
                asyncio.create_task(ask_often(serving, path, statuses))
                for path in ("/book/x", "/read/x", "/all/q") * 2
            ]
            stops = []
            for _ in hosts:
                await asyncio.sleep(0.5)
                stop = Stop(serving[-1])
                stop.signal()
                stops.append(stop)
                if len(serving) > 1:
                    # The balancer sends no new callers to it from here on.
                    await stop.at(2.0)
                    serving.pop()
            for stop in stops:
                await stop.exchanges()
            serving.clear()
            await asyncio.gather(*callers)
            assert set(statuses) <= {200, 503}
            assert statuses.count(200) > 100

        run_scenario(scenario)

    def test_a_frozen_host_does_not_delay_the_stop_of_another(self, run_scenario):
        async def scenario(deployment):
            first = await start_host(deployment)
            seeds = (first.listen["control_plane"],)
            second = await start_host(deployment, 2, seeds)
            await asyncio.sleep(1.0)
            set_seconds(deployment, 0.1)
            first.process.send_signal(signal.SIGSTOP)
            stop = Stop(second)
            stop.signal()
            caller = await stop.open()
            assert (await caller.ask("/book/x", b"slot")).status == 200
            async with asyncio.timeout(GRACE_SECONDS - 1.5):
                await stop.exchanges()

        run_scenario(scenario)


class TestForwardedRequests:
    def run_stop_of(self, run_scenario, chosen):
        """Stop one of two hosts, the first of which forwards requests."""

        async def scenario(deployment):
            with open_relays() as relays:
                configure_long_routes(deployment)
                hosts = await start_cut_host(deployment, relays)
                deployment.searchers["i-single-x"].seconds = 3.5
                deployment.searchers["i-single-y"].seconds = 30.0
                stop = Stop(hosts[chosen])
                for _ in range(2):
                    caller = await stop.open(hosts[0])
                    stop.add(caller.ask("/book/x", b"slot"))
                await wait_until_running(deployment, "single", 2)
                stop.signal()
                statuses = sorted(item.status for item in await stop.exchanges())
                assert statuses == [200, 504]
                assert len(runs(deployment, "single")) == 2

        run_scenario(scenario)

    def test_the_host_that_asked_answers_them(self, run_scenario):
        self.run_stop_of(run_scenario, 0)

    def test_the_host_that_helps_answers_them(self, run_scenario):
        self.run_stop_of(run_scenario, 1)


class TestSuspensionInAStop:
    def test_what_waited_meanwhile_is_answered(self, run_scenario):
        async def scenario(deployment):
            host = await start_host(deployment)
            set_seconds(deployment, 0.1)
            stop = Stop(host)
            stop.signal()
            await stop.at(1.0)
            host.process.send_signal(signal.SIGSTOP)
            callers = [await stop.open() for _ in range(10)]
            for caller in callers:
                stop.add(caller.ask("/book/x", b"slot"))
            await stop.at(4.0)
            host.process.send_signal(signal.SIGCONT)
            exchanges = await stop.exchanges()
            assert [item.status for item in exchanges] == [200] * 10

        run_scenario(scenario)


class TestStopDuringTheStart:
    def test_requests_that_were_read_are_answered(self, run_scenario):
        async def scenario(deployment):
            deployment.store.is_silent = True
            host = await deployment.start_host()
            stop = Stop(host)

            async def listens():
                try:
                    return (await host.ask("readiness", "/-/ready"))[0] == 503
                except OSError:
                    return False

            await eventually(listens, 10)
            callers = [await stop.open() for _ in range(5)]
            for caller in callers:
                stop.add(caller.ask("/book/x", b"slot"))
            stop.signal()
            exchanges = await stop.exchanges()
            assert [item.status for item in exchanges] == [503] * 5

        run_scenario(scenario)
