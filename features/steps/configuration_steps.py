"""Steps that publish rules and check which revision is in force."""

import threading
import time

from behave import given, then, when

from features.steps.path_steps import LETTER_FAMILY, RULES, SEARCH_FAMILY
from foxtailseam_bench._processes import wait_until
from foxtailseam_bench.partition import PartitionedDeployment
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan
from foxtailseam_bench.platform_service import PlatformFault

RULE_COUNT = 12_000


def rules_revisions(deployment):
    return {name: item["rules"] for name, item in deployment.statuses().items()}


def running_processes(deployment):
    return [
        f"{host.name}-{process}"
        for host in deployment.hosts
        for process in ("entry", "gather-0")
        if deployment.processes.is_running(f"{host.name}-{process}")
    ]


@when("a new rule is published")
def step_publish_rule(context):
    line = "* priority 3  # Test\n"
    context.revision = context.deployment.publish_value("rules", RULES + line)


@then("the last published rules are in force in each process within {seconds:g} s")
def step_in_force(context, seconds):
    wait_until_in_force(context, running_processes(context.deployment), seconds)


def wait_until_in_force(context, names, seconds):
    deadline = time.monotonic() + seconds
    while True:
        revisions = rules_revisions(context.deployment)
        if all(revisions.get(name) == context.revision for name in names):
            return
        assert time.monotonic() < deadline, (context.revision, revisions)
        time.sleep(0.02)


@when("an invalid rules file is published")
def step_publish_invalid(context):
    context.before = rules_revisions(context.deployment)
    context.deployment.publish_value("rules", RULES + "* deadline soon  # Test\n")


@then("the rules in force have not changed")
def step_rules_unchanged(context):
    assert rules_revisions(context.deployment) == context.before


@then("each process logs the line, the column and the expected value")
def step_error_logged(context):
    for name in running_processes(context.deployment):
        output = context.deployment.processes.output(name)
        assert "line 6, column 12" in output, output[-1000:]
        assert "expected a duration" in output, output[-1000:]


@when("{operators:d} operators each publish {count:d} rules files concurrently")
def step_publish_concurrently(context, operators, count):
    def publish_rules(operator):
        for number in range(count):
            line = f"* limit {100 * operator + number + 1}  # Operator {operator}\n"
            context.deployment.publish_value("rules", RULES + line)

    threads = [
        threading.Thread(target=publish_rules, args=(operator,))
        for operator in range(operators)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.revision = 1 + operators * count


@then("each process has the same rules within {seconds:g} s")
def step_same_rules(context, seconds):
    wait_until_in_force(context, running_processes(context.deployment), seconds)
    statuses = context.deployment.statuses().values()
    assert len({item["rules_digest"] for item in statuses}) == 1


@when("each process is restarted in turn")
def step_restart_each(context):
    deployment = context.deployment
    context.observed_revisions = {}
    for host in deployment.hosts:
        for process in ("gather-0", "entry"):
            name = f"{host.name}-{process}"
            deployment.processes.kill(name)
            deployment.processes.restart(name)
            deployment.wait_ready(host)
            context.observed_revisions[name] = rules_revisions(deployment)
    time.sleep(1.5)
    context.observed_revisions["at the end"] = rules_revisions(deployment)


@then("no process ever had an older revision")
def step_no_older_revision(context):
    for moment, revisions in context.observed_revisions.items():
        assert len(revisions) == 4, (moment, revisions)
        assert set(revisions.values()) == {context.revision}, (moment, revisions)


@when("{name} is frozen while {count:d} revisions of the rules are published")
def step_freeze_while_publishing(context, name, count):
    context.deployment.processes.suspend(name)
    for number in range(count):
        line = f"* limit {number + 50}  # Test\n"
        context.revision = context.deployment.publish_value("rules", RULES + line)
        time.sleep(0.4)
    context.deployment.processes.resume(name)


@when("{name} is frozen while a rule makes the family non-repeatable")
def step_freeze_during_family_rule(context, name):
    deployment = context.deployment
    processes = [f"{name}-entry", f"{name}-gather-0"]
    for process in processes:
        deployment.processes.suspend(process)
    # Long enough for the processes to detect the pause when they resume.
    time.sleep(1.5)
    # Makes pending watch requests end without the new value.
    deployment.set_platform_fault(PlatformFault(down=True))
    deployment.publish_value(
        "rules", RULES + f"{SEARCH_FAMILY} repeatable no  # Test\n"
    )
    time.sleep(0.2)
    deployment.set_platform_fault(PlatformFault(delay_ms=150))
    caller = threading.Thread(target=search_once, args=(context,))
    caller.start()
    # The request is in the socket buffer of the frozen entry when it resumes.
    time.sleep(0.2)
    for process in processes:
        deployment.processes.resume(process)
    caller.join()


def search_once(context):
    host = context.deployment.hosts[0]
    context.reply = context.deployment.search(host, SEARCH_FAMILY, "climber 1")


@then("its first answer after resuming is a refusal with reason {reason}")
def step_first_answer(context, reason):
    assert context.reply.body.get("reason") == reason, context.reply


@given("a deployment in two network segments")
def step_two_segments(context):
    families = (FamilyPlan(SEARCH_FAMILY), FamilyPlan(LETTER_FAMILY, shards=1))
    context.deployment = PartitionedDeployment(DeploymentPlan(families, RULES))
    context.cleanup.append(context.deployment.stop)
    context.deployment.start()


@when("the segments are disconnected")
def step_disconnect(context):
    context.deployment.relays.disconnect()
    time.sleep(1.0)


@when("a new rule is published in the first segment")
def step_publish_in_first_segment(context):
    line = "* priority 3  # Test\n"
    context.revision = context.deployment.publish_to_first_platform(
        "rules", RULES + line
    )


@then("the last published rules are in force in the first segment within {seconds:g} s")
def step_in_force_in_first_segment(context, seconds):
    wait_until_in_force(context, ["host-1-entry", "host-1-gather-0"], seconds)


@then("both segments serve complete answers within {seconds:g} s")
def step_both_segments_serve(context, seconds):
    def is_complete(host):
        reply = context.deployment.search(host, SEARCH_FAMILY, "climber 1")
        return reply.body["outcome"] == "complete"

    # Until a call to the other segment has failed, an answer may lack shards.
    for host in context.deployment.hosts:
        wait_until(lambda host=host: is_complete(host), seconds, host.name)


@when("the segments are reconnected")
def step_reconnect(context):
    context.deployment.relays.reconnect()


def make_rules(limit):
    requester = "# Desk " + "x" * 46
    return "".join(
        f"family-{number:05} limit {limit}  {requester}\n"
        for number in range(RULE_COUNT)
    )


@when("one million bytes of rules are published")
def step_publish_many_rules(context):
    text = RULES + make_rules(10)
    assert 900_000 < len(text) <= 1_000_000, len(text)
    context.revision = context.deployment.publish_value("rules", text)


@when("all of these rules are changed at once")
def step_change_all_rules(context):
    text = RULES.replace("500ms", "600ms") + make_rules(20)
    context.revision = context.deployment.publish_value("rules", text)
