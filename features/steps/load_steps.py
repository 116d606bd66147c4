"""Steps of a load under faults."""

import time

from behave import given, then, when

from features.faults import FAMILY, bring_about
from features.judges import assert_truthful, is_complete
from features.steps.path_steps import start
from foxtailseam_bench.load import BackgroundLoad

LAST = 12


def begin_load(context, **changes):
    load = BackgroundLoad(context.deployment, FAMILY, **changes)
    context.load = load
    # The load ends before the deployment does.
    context.cleanup.append(load.stop)
    load.__enter__()


@given("a deployment under load")
def step_under_load(context):
    start(context)
    begin_load(context)
    time.sleep(0.3)


@given("a deployment of {hosts:d} hosts under load")
def step_hosts_under_load(context, hosts):
    start(context, hosts=hosts)
    begin_load(context)
    time.sleep(0.3)


@when("the fault happens: {name}")
def step_fault(context, name):
    bring_about(context.deployment, name)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    time.sleep(seconds)


@then("every answer is truthful")
def step_truthful(context):
    context.load.stop()
    observations = context.load.observations
    assert len(observations) > LAST, len(observations)
    for observation in observations:
        assert_truthful(observation)


@then("answers are {kind} at the end")
def step_at_the_end(context, kind):
    last = sorted(context.load.observations, key=lambda item: item.started)[-LAST:]
    complete = sum(is_complete(item) for item in last)
    expected = {"complete": LAST, "partial": 0}
    shown = [describe(item) for item in last if not is_complete(item)]
    assert kind == "any" or complete == expected[kind], shown


def describe(observation):
    """Return what an incomplete answer says, and when it came."""
    body = observation.reply.body if observation.reply else observation.error
    duration = observation.ended - observation.started
    return round(observation.started, 3), round(duration, 3), body
