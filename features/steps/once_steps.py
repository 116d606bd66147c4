"""Steps of requests that are refused, or that may not be repeated."""

import threading
import time

import urllib3
from behave import then, when

from features.faults import bring_about
from features.steps.load_steps import begin_load
from features.steps.path_steps import FAMILY, LETTERS, start
from foxtailseam_bench.load import QUERY_NUMBER_STRIDE

CONTENT = "unique-content-7f3a"
LETTER_COUNT = 8
RESENDS = 3


def letter_searchers(deployment):
    return deployment.searchers[f"{LETTERS}-00"]


def set_rule(deployment, line):
    rules = deployment.plan.rules + line
    revision = deployment.publish_value("rules", rules)
    deadline = time.monotonic() + 3
    while any(item["rules"] != revision for item in deployment.statuses().values()):
        assert time.monotonic() < deadline
        time.sleep(0.02)


def reach_limit(deployment):
    deployment.set_behaviour_of_all(service_ms=400.0)
    set_rule(deployment, "* limit 1  # Test\n")
    host = deployment.hosts[0]
    # The least limit of the adaptive control is two requests in flight.
    for number in range(2):
        for call in (busy_search, busy_submit):
            threading.Thread(target=call, args=(deployment, host, number)).start()
    time.sleep(0.1)


def busy_search(deployment, host, number):
    deployment.search(host, FAMILY, f"busy {number}")


def busy_submit(deployment, host, number):
    ticket = deployment.ticket(host, LETTERS)
    deployment.submit(host, LETTERS, ticket, f"busy {number}")


def kill_gathers(deployment):
    for host in deployment.hosts:
        deployment.processes.kill(f"{host.name}-gather-0")


def kill_letter_searchers(deployment):
    for address in letter_searchers(deployment):
        deployment.processes.kill(deployment.searcher_name(address))


def behave_letters(**changes):
    def change(deployment):
        for address in letter_searchers(deployment):
            deployment.set_behaviour(address, **changes)

    return change


SITUATIONS = {
    "nothing special": lambda deployment: None,
    "the ticket is wrong": lambda deployment: None,
    "the ticket is late": lambda deployment: None,
    "searchers are gone": kill_letter_searchers,
    "searchers shed": behave_letters(shed=1.0),
    "searchers drain": behave_letters(draining=True),
    "gathers are gone": kill_gathers,
    "the limit is reached": reach_limit,
}


@when("the situation is: {situation}")
def step_situation(context, situation):
    deployment = context.deployment
    host = deployment.hosts[0]
    context.ticket = deployment.ticket(host, LETTERS)
    if situation == "the ticket is wrong":
        context.ticket = "wrong"
    if situation == "the ticket is late":
        context.deployment.stop()
        start(context, settings={"entry": {"ticket_life": "1s"}})
        deployment = context.deployment
        context.ticket = deployment.ticket(deployment.hosts[0], LETTERS)
        time.sleep(1.1)
    SITUATIONS[situation](deployment)


@when("the caller sends a {kind} of {family}")
def step_send(context, kind, family):
    deployment = context.deployment
    host = deployment.hosts[0]
    if kind == "search":
        context.reply = deployment.search(host, family, CONTENT)
    else:
        context.reply = deployment.submit(host, family, context.ticket, CONTENT)


@then("it is refused as {reason}")
def step_refused(context, reason):
    body = context.reply.body
    assert (body["outcome"], body["reason"]) == ("refused", reason), body
    if context.reply.status in (429, 503):
        assert "Retry-After" in context.reply.headers, context.reply


@then("nothing of it was run")
def step_not_run(context):
    # A run that was still on its way would show by now.
    time.sleep(0.7)
    assert context.deployment.count_runs_containing(CONTENT) == 0


@when("{threads:d} threads search with texts of their own for {seconds:g} s")
def step_overload(context, threads, seconds):
    queries = [f"text-{number:05}-" for number in range(threads * QUERY_NUMBER_STRIDE)]
    begin_load(context, threads=threads, queries=queries, pause=0.0)
    time.sleep(seconds)
    context.load.stop()


@then("some were refused, each with when to come back")
def step_some_refused(context):
    context.refused = [
        item
        for item in context.load.observations
        if item.reply.body["outcome"] == "refused"
    ]
    assert context.refused
    for item in context.refused:
        assert int(item.reply.headers["Retry-After"]) >= 1, item


@then("none of the refused ones was run")
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


# Whichever gather owns the letters' shard, the fault hits it.
LETTER_FAULTS = {
    "gathers killed": kill_gathers,
    "gathers frozen": freeze_gathers,
    "gathers paused": pause_gathers,
    "entry killed": kill_entry,
    "entry killed and started again": restart_entry,
    "letter searcher killed": kill_letter_searcher,
    "letter searchers paused": pause_letter_searchers,
    "cut before the run": behave_letters(cut="before"),
    "cut within the run": behave_letters(cut="within"),
    "cut after the run": behave_letters(cut="after"),
    "letter searchers silent": behave_letters(silence=True),
    "letter searchers too slow": behave_letters(service_ms=900.0),
    "letter searchers shed half": behave_letters(shed=0.5),
}


def happen(deployment, name):
    for part in name.split(" + "):
        if part in LETTER_FAULTS:
            LETTER_FAULTS[part](deployment)
        else:
            bring_about(deployment, part)


@when("letters are sent, and sent again to both entries, while: {fault}")
def step_letters(context, fault):
    deployment = context.deployment
    first = deployment.hosts[0]
    tickets = [deployment.ticket(first, LETTERS) for _ in range(LETTER_COUNT)]
    context.outcomes = {f"letter-{number}-": [] for number in range(LETTER_COUNT)}
    senders = [
        threading.Thread(
            target=send_again_and_again,
            args=(deployment, ticket, letter, context.outcomes[letter]),
        )
        for letter, ticket in zip(context.outcomes, tickets, strict=True)
    ]
    for sender in senders:
        sender.start()
    time.sleep(0.08)
    happen(deployment, fault)
    for sender in senders:
        sender.join()
    # What was still on its way when the callers gave up shows by now.
    time.sleep(1.0)


def send_again_and_again(deployment, ticket, letter, outcomes):
    for _ in range(RESENDS):
        for host in deployment.hosts:
            try:
                reply = deployment.submit(host, LETTERS, ticket, letter, 1.0)
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
    ticket = deployment.ticket(host, LETTERS)
    first = deployment.submit(host, LETTERS, ticket, "letter one")
    assert first.body["outcome"] == "accepted", first
    context.reply = deployment.submit(host, LETTERS, ticket, "letter two")


@then("the second is not run")
def step_second_not_run(context):
    assert context.reply.body["outcome"] != "accepted", context.reply
    assert context.deployment.count_runs_containing("letter two") == 0
