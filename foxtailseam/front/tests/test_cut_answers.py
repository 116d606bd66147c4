"""Answers of searchers that are cut, as callers of host processes see them."""

import asyncio
from types import MethodType

import pytest

from foxtailseam.front.tests._cut_hosts import open_relays, start_cut_host
from foxtailseam.front.tests._deployment import (
    SHARDS,
    gather_route,
    single_route,
)
from foxtailseam.http.tests.test_upstream import close_with_reset
from foxtailseam_bench.platform_stand_in import render

REQUESTS = 160
CONCURRENT_REQUESTS = 4
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def with_length(fields, body):
    return render(200, fields, body)


def with_chunks(fields, body):
    fields = fields | {"Transfer-Encoding": "chunked"}
    head = render(200, fields, b"").replace(b"Content-Length: 0\r\n", b"")
    middle = len(body) // 2
    parts = (body[:middle], body[middle:], b"")
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


def without_length(fields, body):
    return render(200, fields, b"").replace(b"Content-Length: 0\r\n", b"") + body


def after_interim(fields, body):
    return INTERIM * 2 + with_length(fields, body)


FRAMINGS = [with_length, with_chunks, without_length, after_interim]


class Cutter:
    """Cuts every second answer of a searcher, each time at another byte.

    Parameters
    ----------
    render_answer : callable
        Returns the bytes of an answer with the given headers and body.
    is_reset : bool
        Whether the connection is reset, and not closed, after the cut.
    """

    def __init__(self, render_answer, is_reset):
        self.render_answer = render_answer
        self.is_reset = is_reset
        self.cuts = 0
        self._answers = 0

    async def run(self, searcher, _reader, writer, request, headers):
        searcher.runs.append(request)
        headers["Foxtailseam-Server-Stamp"] = f"stamp-{searcher.identifier}"
        body = searcher.records
        if searcher.echoes_target:
            body = request[1].encode() * 5
        answer = self.render_answer(headers, body)
        self._answers += 1
        if self._answers % 2:
            writer.write(answer)
            if self.render_answer is without_length:
                raise ConnectionError("the answer ends with its connection")
            return
        # Closed within its body, an answer without a length looks complete.
        end = len(answer)
        if self.render_answer is without_length and not self.is_reset:
            end = answer.index(b"\r\n\r\n") + 4
        cut = self.cuts * 7 % end
        self.cuts += 1
        writer.write(answer[:cut])
        # What was sent is received before the reset, and a head in two pieces.
        await asyncio.sleep(0.005)
        if self.is_reset:
            close_with_reset(writer)
        raise ConnectionError("cut")

    def attach(self, searcher):
        searcher._run = MethodType(lambda *args: self.run(*args), searcher)


def cut_answers(deployment, render_answer, is_reset):
    """Let all searchers cut their answers; return the cutters."""
    cutters = []
    for name, searcher in deployment.searchers.items():
        searcher.echoes_target = "single" in name
        cutters.append(Cutter(render_answer, is_reset))
        cutters[-1].attach(searcher)
    deployment.configure(
        gather_route(top_k=3, min_version=0.3), single_route("read", "idempotent")
    )
    return cutters


async def ask_many(host, path):
    """Send requests to a path, a few at a time; return their targets and answers."""
    limit = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def ask(number):
        target = f"{path}{number:04}"
        async with limit:
            return target, await host.get(target)

    return await asyncio.gather(*[ask(number) for number in range(REQUESTS)])


def check_single(target, answer):
    """Check that a success has the whole body; return whether it is one."""
    status, headers, body = answer
    if status == 200:
        assert body == target.encode() * 5
        assert headers["foxtailseam-server-stamp"].startswith("stamp-i-single")
    return status == 200


def check_merged(answer):
    """Check that a success has the records of the named parts; return if it is one."""
    status, headers, body = answer
    if status == 200:
        stamps = headers["foxtailseam-part-stamps"].split(", ")
        names = [shard for shard in SHARDS if any(shard in stamp for stamp in stamps)]
        assert len(names) == len(stamps)
        assert int(headers["foxtailseam-missing-parts"]) == len(SHARDS) - len(names)
        records = [bytes([65 + SHARDS.index(name)]) * 16 for name in names]
        assert body == b"".join(sorted(records, reverse=True))
    return status == 200


async def check_answers(host, cutters):
    singles = await ask_many(host, "/read/")
    served = sum(check_single(target, answer) for target, answer in singles)
    merged = await ask_many(host, "/all/")
    served_merged = sum(check_merged(answer) for _, answer in merged)
    assert served >= REQUESTS / 4
    assert served_merged >= REQUESTS / 4
    assert sum(cutter.cuts for cutter in cutters) >= REQUESTS / 4


class TestCutAnswers:
    @pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
    @pytest.mark.parametrize("render_answer", FRAMINGS)
    def test_none_reaches_a_caller_as_a_success(
        self, run_scenario, render_answer, is_reset
    ):
        async def scenario(deployment):
            cutters = cut_answers(deployment, render_answer, is_reset)
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            await check_answers(host, cutters)

        run_scenario(scenario)

    def test_none_reaches_a_caller_of_another_host_as_a_success(self, run_scenario):
        async def scenario(deployment):
            with open_relays() as relays:
                first, _ = await start_cut_host(deployment, relays)
                cutters = cut_answers(deployment, with_length, False)
                await check_answers(first, cutters)
                assert (await first.metrics())["forwards_served_total"] > REQUESTS

        run_scenario(scenario)
