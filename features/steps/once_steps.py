"""Steps with refused requests and with non-repeatable requests, the letters."""

import threading
import time

import urllib3
from behave import then, when

from features.faults import inject_fault
from features.steps.load_steps import start_load
from features.steps.path_steps import LETTER_FAMILY, SEARCH_FAMILY, start_deployment
from foxtailseam_bench.load import QUERY_NUMBER_STRIDE

UNIQUE_CONTENT = "unique-content-7f3a"
LETTER_COUNT = 8
RESEND_ROUNDS = 3


def letter_searchers(deployment):
    return deployment.searchers[f"{LETTER_FAMILY}-00"]


def add_rule(deployment, line):
    rules = deployment.plan.rules + line
    revision = deployment.publish_value("rules", rules)
    deadline = time.monotonic() + 3
    while any(item["rules"] != revision for item in deployment.statuses().values()):
        assert time.monotonic() < deadline
        time.sleep(0.02)


def reach_concurrency_limit(deployment):
    deployment.set_behaviour_of_all(service_ms=400.0)
    add_rule(deployment, "* limit 1  # Test\n")
    host = deployment.hosts[0]
    # The adaptive limit is never below two requests in flight.
    for number in range(2):
        for call in (busy_search, busy_submit):
            threading.Thread(target=call, args=(deployment, host, number)).start()
    time.sleep(0.1)


def busy_search(deployment, host, number):
    deployment.search(host, SEARCH_FAMILY, f"busy {number}")


def busy_submit(deployment, host, number):
    ticket = deployment.request_ticket(host, LETTER_FAMILY)
    deployment.submit(host, LETTER_FAMILY, ticket, f"busy {number}")


def kill_gathers(deployment):
    for host in deployment.hosts:
        deployment.processes.kill(f"{host.name}-gather-0")


def kill_letter_searchers(deployment):
    for address in letter_searchers(deployment):
        deployment.processes.kill(deployment.searcher_name(address))


def set_letter_searcher_behaviour(**changes):
    def apply_behaviour(deployment):
        for address in letter_searchers(deployment):
            deployment.set_behaviour(address, **changes)

    return apply_behaviour


SITUATIONS = {
    "normal operation": lambda deployment: None,
    "the ticket is invalid": lambda deployment: None,
    "the ticket has expired": lambda deployment: None,
    "letter searchers are killed": kill_letter_searchers,
    "letter searchers shed requests": set_letter_searcher_behaviour(shed=1.0),
    "letter searchers drain": set_letter_searcher_behaviour(draining=True),
    "gathers are killed": kill_gathers,
    "the concurrency limit is reached": reach_concurrency_limit,
}


@when("the situation is: {situation}")
def step_situation(context, situation):
    deployment = context.deployment
    host = deployment.hosts[0]
    context.ticket = deployment.request_ticket(host, LETTER_FAMILY)
    if situation == "the ticket is invalid":
        context.ticket = "wrong"
    if situation == "the ticket has expired":
        context.deployment.stop()
        start_deployment(context, settings={"entry": {"ticket_life": "1s"}})
        deployment = context.deployment
        context.ticket = deployment.request_ticket(deployment.hosts[0], LETTER_FAMILY)
        time.sleep(1.1)
    SITUATIONS[situation](deployment)


@when("the caller sends a {kind} of {family}")
def step_send(context, kind, family):
    deployment = context.deployment
    host = deployment.hosts[0]
    if kind == "search":
        context.reply = deployment.search(host, family, UNIQUE_CONTENT)
    else:
        context.reply = deployment.submit(host, family, context.ticket, UNIQUE_CONTENT)


@then("it is refused with reason {reason}")
def step_refused(context, reason):
    body = context.reply.body
    assert (body["outcome"], body["reason"]) == ("refused", reason), body
    if context.reply.status in (429, 503):
        assert "Retry-After" in context.reply.headers, context.reply


@then("no part of it was run")
def step_not_run(context):
    # After this time the run log shows a request that was still in transit.
    time.sleep(0.7)
    assert context.deployment.count_runs_containing(UNIQUE_CONTENT) == 0


@when("{threads:d} threads search with distinct queries for {seconds:g} s")
def step_search_concurrently(context, threads, seconds):
    queries = [f"text-{number:05}-" for number in range(threads * QUERY_NUMBER_STRIDE)]
    start_load(context, threads=threads, queries=queries, pause=0.0)
    time.sleep(seconds)
    context.load.stop()


@then("some were refused, each with Retry-After")
def step_some_refused(context):
    context.refused = [
        item
        for item in context.load.observations
        if item.reply.body["outcome"] == "refused"
    ]
    assert context.refused
    for item in context.refused:
        assert int(item.reply.headers["Retry-After"]) >= 1, item


@then("none of the refused searches was run")
def step_none_run(context):
    time.sleep(0.7)
    for item in context.refused:
        assert context.deployment.count_runs_containing(item.query) == 0, item


def kill_entry(deployment):
    deployment.processes.kill("host-1-entry")


def restart_entry(deployment):
    kill_entry(deployment)
    deployment.processes.restart("host-1-entry")
    deployment.wait_ready(deployment.hosts[0])


def kill_letter_searcher(deployment):
    address = letter_searchers(deployment)[0]
    deployment.processes.kill(deployment.searcher_name(address))


def pause_letter_searchers(deployment):
    names = [deployment.searcher_name(item) for item in letter_searchers(deployment)]
    for name in names:
        deployment.processes.suspend(name)
    time.sleep(1.0)
    for name in names:
        deployment.processes.resume(name)


def freeze_gathers(deployment):
    for host in deployment.hosts:
        deployment.processes.suspend(f"{host.name}-gather-0")


def pause_gathers(deployment):
    freeze_gathers(deployment)
    time.sleep(1.5)
    for host in deployment.hosts:
        deployment.processes.resume(f"{host.name}-gather-0")


# Faults of gathers apply to all, since any may own the letters' shard.
LETTER_FAULTS = {
    "gathers killed": kill_gathers,
    "gathers frozen": freeze_gathers,
    "gathers paused": pause_gathers,
    "entry killed": kill_entry,
    "entry killed and restarted": restart_entry,
    "letter searcher killed": kill_letter_searcher,
    "letter searchers paused": pause_letter_searchers,
    "connection reset before the run": set_letter_searcher_behaviour(cut="before"),
    "connection reset during the run": set_letter_searcher_behaviour(cut="within"),
    "connection reset after the run": set_letter_searcher_behaviour(cut="after"),
    "letter searchers unresponsive": set_letter_searcher_behaviour(silence=True),
    "letter searchers too slow": set_letter_searcher_behaviour(service_ms=900.0),
    "letter searchers shed half of their requests": set_letter_searcher_behaviour(
        shed=0.5
    ),
}


def inject_letter_fault(deployment, name):
    for part in name.split(" + "):
        if part in LETTER_FAULTS:
            LETTER_FAULTS[part](deployment)
        else:
            inject_fault(deployment, part)


@when("letters are sent and resent to both entries during: {fault}")
def step_letters(context, fault):
    deployment = context.deployment
    first = deployment.hosts[0]
    tickets = [
        deployment.request_ticket(first, LETTER_FAMILY) for _ in range(LETTER_COUNT)
    ]
    context.outcomes = {f"letter-{number}-": [] for number in range(LETTER_COUNT)}
    senders = [
        threading.Thread(
            target=send_repeatedly,
            args=(deployment, ticket, letter, context.outcomes[letter]),
        )
        for letter, ticket in zip(context.outcomes, tickets, strict=True)
    ]
    for sender in senders:
        sender.start()
    time.sleep(0.08)
    inject_letter_fault(deployment, fault)
    for sender in senders:
        sender.join()
    # By then the run log shows the requests that were in transit when the callers
    # gave up.
    time.sleep(1.0)


def send_repeatedly(deployment, ticket, letter, outcomes):
    for _ in range(RESEND_ROUNDS):
        for host in deployment.hosts:
            try:
                reply = deployment.submit(host, LETTER_FAMILY, ticket, letter, 1.0)
                outcomes.append(reply.body["outcome"])
            except urllib3.exceptions.HTTPError as error:
                outcomes.append(type(error).__name__)
        time.sleep(0.2)


@then("no letter was run twice")
def step_no_letter_twice(context):
    for letter, outcomes in context.outcomes.items():
        runs = context.deployment.count_runs_containing(letter)
        assert runs <= 1, f"{letter} ran {runs} times: {outcomes}"


@then("each accepted letter was run")
def step_accepted_run(context):
    for letter, outcomes in context.outcomes.items():
        if "accepted" in outcomes:
            assert context.deployment.count_runs_containing(letter) == 1, outcomes


@when("two letters are sent with one ticket")
def step_two_letters(context):
    deployment = context.deployment
    host = deployment.hosts[0]
    ticket = deployment.request_ticket(host, LETTER_FAMILY)
    first = deployment.submit(host, LETTER_FAMILY, ticket, "letter one")
    assert first.body["outcome"] == "accepted", first
    context.reply = deployment.submit(host, LETTER_FAMILY, ticket, "letter two")


@then("the second is not run")
def step_second_not_run(context):
    assert context.reply.body["outcome"] != "accepted", context.reply
    assert context.deployment.count_runs_containing("letter two") == 0
