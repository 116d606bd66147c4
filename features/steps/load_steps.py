"""Steps that inject faults under load and check the answers."""

import time

from behave import given, then, when

from features.answer_checks import assert_consistent, is_complete
from features.faults import SEARCH_FAMILY, inject_fault
from features.steps.path_steps import start_deployment
from foxtailseam_bench.load import BackgroundLoad

LAST_OBSERVATION_COUNT = 12


def start_load(context, **changes):
    load = BackgroundLoad(context.deployment, SEARCH_FAMILY, **changes)
    context.load = load
    # Clean-up runs in reverse order, so the load stops before the deployment.
    context.cleanup.append(load.stop)
    load.__enter__()


@given("a deployment under load")
def step_under_load(context):
    start_deployment(context)
    start_load(context)
    time.sleep(0.3)


@given("a deployment of {hosts:d} hosts under load")
def step_hosts_under_load(context, hosts):
    start_deployment(context, hosts=hosts)
    start_load(context)
    time.sleep(0.3)


@when("the fault happens: {name}")
def step_fault(context, name):
    inject_fault(context.deployment, name)
    context.fault_ended = time.monotonic()


@when("{seconds:g} s pass")
def step_wait(context, seconds):
    time.sleep(seconds)


@then("every answer is consistent")
def step_answers_consistent(context):
    context.load.stop()
    observations = context.load.observations
    assert len(observations) > LAST_OBSERVATION_COUNT, len(observations)
    for observation in observations:
        assert_consistent(observation)


@then("answers are {kind} at the end")
def step_last_answers(context, kind):
    last = sorted(context.load.observations, key=lambda item: item.started)[
        -LAST_OBSERVATION_COUNT:
    ]
    complete_count = sum(is_complete(item) for item in last)
    expected = {"complete": LAST_OBSERVATION_COUNT, "partial": 0}
    fault_ended = getattr(context, "fault_ended", None)
    found = [describe(item) for item in last]
    assert kind == "of any kind" or complete_count == expected[kind], (
        f"fault injected until {fault_ended}, searches {found}"
    )


def describe(observation):
    """Return start and duration of a search, whether it is complete, and its result.

    Times are in seconds; the result is the body or error.
    """
    body = observation.reply.body if observation.reply else observation.error
    duration = observation.ended - observation.started
    is_whole = is_complete(observation)
    return round(observation.started, 3), round(duration, 3), is_whole, body
