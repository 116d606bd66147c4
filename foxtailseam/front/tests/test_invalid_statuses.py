"""Responses of searchers whose status names no outcome, as callers see them."""

from types import MethodType

import pytest

from foxtailseam.front.tests._cut_hosts import runs

INVALID = ["000", "099", "600", "999", "0200", "20", "2x0", "-00", ""]
BODY = b"not an answer"


def answer_with(searcher, status):
    """Let a searcher run each request and answer with a status line of its own."""

    async def run(searcher, _reader, writer, request, headers):
        searcher.runs.append(request)
        headers["Foxtailseam-Server-Stamp"] = f"stamp-{searcher.identifier}"
        headers["Content-Length"] = str(len(BODY))
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([f"HTTP/1.1 {status} Some Reason", *lines, "", ""])
        writer.write(head.encode() + BODY)

    searcher._run = MethodType(run, searcher)


def searchers_of(deployment, service):
    return [item for name, item in deployment.searchers.items() if service in name]


class TestInvalidStatuses:
    # Guards against: the caller of a request that may run once waits out its deadline,
    # or gets the status as if it were an answer.
    @pytest.mark.parametrize("status", INVALID)
    def test_a_request_that_may_run_once_fails_at_once(self, run_scenario, status):
        async def scenario(deployment):
            for searcher in searchers_of(deployment, "single"):
                answer_with(searcher, status)
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            answer = await host.get("/book/x", "POST", b"slot")
            assert answer[0] == 502
            assert BODY not in answer[2]
            assert len(runs(deployment, "single")) == 1

        run_scenario(scenario)

    @pytest.mark.parametrize("status", INVALID)
    def test_other_requests_are_repeated(self, run_scenario, status):
        async def scenario(deployment):
            answer_with(searchers_of(deployment, "single")[0], status)
            for shard in ("shard-a", "shard-c"):
                answer_with(searchers_of(deployment, shard)[0], status)
            host = await deployment.start_host(1)
            await host.wait_until_ready()
            for number in range(6):
                assert (await host.get(f"/read/{number}"))[0] == 200
                status_code, headers, _ = await host.get(f"/all/{number}")
                assert status_code == 200
                assert headers.get("foxtailseam-missing-parts", "0") == "0"

        run_scenario(scenario)
