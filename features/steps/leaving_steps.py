"""Steps in which searchers leave or processes shut down."""

import signal
import threading
import time

from behave import given, then, when

from features.answer_checks import is_complete
from features.faults import first_shard, kill_platform
from features.steps.load_steps import start_load
from features.steps.path_steps import LETTER_FAMILY, RULES, start_deployment


def set_behaviour(**changes):
    def apply_behaviour(deployment, address):
        deployment.set_behaviour(address, **changes)

    return apply_behaviour


def list_leaving(deployment, address):
    deployment.publish_hosts(leaving_searchers={address})


def list_then_kill_platform(deployment, address):
    list_leaving(deployment, address)
    time.sleep(0.5)
    kill_platform(deployment)


def list_then_unlist(deployment, address):
    deployment.set_behaviour(address, draining=True)
    list_leaving(deployment, address)
    time.sleep(0.3)
    deployment.publish_hosts(leaving_searchers=set())


def alternate_listing(deployment, address):
    for leaving in ({address}, set(), {address}):
        deployment.publish_hosts(leaving_searchers=leaving)
        time.sleep(0.2)


def refuse_connections(deployment, address):
    deployment.set_behaviour(address, connections=0, cut="before")


def drain_then_restart_gathers(deployment, address):
    deployment.set_behaviour(address, drain_quietly=True)
    time.sleep(0.5)
    for host in deployment.hosts:
        name = f"{host.name}-gather-0"
        deployment.processes.kill(name)
        deployment.processes.restart(name)
        deployment.wait_ready(host)


LEAVING_SIGNALS = {
    "it reports that it drains, then gathers are restarted": drain_then_restart_gathers,
    "it refuses work and reports that it drains": set_behaviour(draining=True),
    "it keeps serving and reports that it drains": set_behaviour(drain_quietly=True),
    "only the list says so": list_leaving,
    "it drains while its health endpoint lags": set_behaviour(
        draining=True, health_lag=True
    ),
    "the list says so, then the platform is lost": list_then_kill_platform,
    "the list no longer says so while it drains": list_then_unlist,
    "the list alternates and ends with leaving": alternate_listing,
    "it refuses connections": refuse_connections,
}


@when("a searcher leaves: {name}")
def step_searcher_leaves(context, name):
    context.searcher = first_shard(context.deployment)[0]
    LEAVING_SIGNALS[name](context.deployment, context.searcher)
    context.signal = name


@then("the searcher gets no work for {seconds:g} s")
def step_no_work(context, seconds):
    if context.signal == "it refuses connections":
        # Refused connections do not count as work, only received requests do. The
        # searcher must accept connections for its run log to be read.
        context.deployment.set_behaviour(context.searcher, connections=25)
    before = context.deployment.run_log(context.searcher).received
    if context.signal == "it refuses connections":
        context.deployment.set_behaviour(context.searcher, connections=0)
    time.sleep(seconds)
    after = context.deployment.run_log(context.searcher).received
    assert after == before, f"{after - before} requests"


@given("a load on searchers that take {milliseconds:d} ms")
def step_slow_searchers_under_load(context, milliseconds):
    context.deployment.set_behaviour_of_all(service_ms=float(milliseconds), spread=0.0)
    start_load(context)
    time.sleep(0.5)


@when(
    "SIGTERM is sent {times:d} times to {names}, "
    "and the load balancer reacts after {lag:g} s"
)
def step_sigterm(context, times, names, lag):
    processes = context.deployment.processes
    for _ in range(times):
        for name in names.split():
            processes.signal(name, signal.SIGTERM)
        time.sleep(lag / times)
    for host in context.deployment.hosts:
        if f"{host.name}-entry" in names.split():
            context.load.exclude_host(host)


@then("{names} end with exit code {code:d}")
def step_exit_code(context, names, code):
    for name in names.split():
        exit_code = context.deployment.processes.wait(name, 10.0)
        assert exit_code == code, f"{name}: {exit_code}"
    time.sleep(0.3)
    context.load.stop()


@then("no request was dropped")
def step_no_request_dropped(context):
    for item in context.load.observations:
        assert item.reply is not None, item


@then("each answer is complete")
def step_each_complete(context):
    for item in context.load.observations:
        assert is_complete(item), item


@given("a deployment with a drain bound of {bound}")
def step_drain_bound(context, bound):
    rules = RULES.replace("* deadline 500ms", "* deadline 5s")
    start_deployment(context, rules=rules, settings={"shutdown": {"bound": bound}})


def send_letter(context):
    deployment = context.deployment
    host = deployment.hosts[0]
    ticket = deployment.request_ticket(host, LETTER_FAMILY)

    def send():
        try:
            context.reply = deployment.submit(host, LETTER_FAMILY, ticket, "letter")
        except Exception as error:
            context.reply = error

    context.sender = threading.Thread(target=send, daemon=True)
    context.sender.start()
    time.sleep(0.1)


@when("a letter is in flight for {seconds:g} s and its entry and gather get SIGTERM")
def step_letter_in_flight(context, seconds):
    context.deployment.set_behaviour_of_all(service_ms=seconds * 1000, spread=0.0)
    send_letter(context)
    for host in context.deployment.hosts:
        context.deployment.processes.signal(f"{host.name}-gather-0", signal.SIGTERM)
    context.deployment.processes.signal("host-1-entry", signal.SIGTERM)


@then("the letter is accepted")
def step_letter_accepted(context):
    context.sender.join(5.0)
    assert context.reply.body["outcome"] == "accepted", context.reply


@when("a letter is in flight for {seconds:g} s and its entry gets SIGTERM")
def step_long_letter(context, seconds):
    context.deployment.set_behaviour_of_all(service_ms=seconds * 1000)
    send_letter(context)
    context.deployment.processes.signal("host-1-entry", signal.SIGTERM)


@then("the entry ends within {seconds:g} s with exit code {code:d}")
def step_entry_ends(context, seconds, code):
    exit_code = context.deployment.processes.wait("host-1-entry", seconds)
    assert exit_code == code, exit_code


@then("the letter's outcome is unknown")
def step_letter_unknown(context):
    context.sender.join(5.0)
    assert context.reply.body["outcome"] == "unknown", context.reply
