"""Steps of the rules that are in force."""

import threading
import time

from behave import given, then, when

from features.steps.path_steps import FAMILY, LETTERS, RULES
from foxtailseam_bench._processes import wait_until
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan
from foxtailseam_bench.platform_service import PlatformFault
from foxtailseam_bench.split import PartitionedDeployment

MANY_RULES = 12_000


def revisions(deployment):
    return {name: item["rules"] for name, item in deployment.statuses().items()}


def running(deployment):
    return [
        f"{host.name}-{process}"
        for host in deployment.hosts
        for process in ("entry", "gather-0")
        if deployment.processes.is_running(f"{host.name}-{process}")
    ]


@when("a new rule is handed over")
def step_hand_over(context):
    line = "* priority 3  # Test\n"
    context.revision = context.deployment.publish_value("rules", RULES + line)


@then("it is in force in each process within {seconds:g} s")
def step_in_force(context, seconds):
    wait_in_force(context, running(context.deployment), seconds)


def wait_in_force(context, names, seconds):
    deadline = time.monotonic() + seconds
    while True:
        found = revisions(context.deployment)
        if all(found.get(name) == context.revision for name in names):
            return
        assert time.monotonic() < deadline, (context.revision, found)
        time.sleep(0.02)


@when("an invalid file is handed over")
def step_invalid(context):
    context.before = revisions(context.deployment)
    context.deployment.publish_value("rules", RULES + "* deadline soon  # Test\n")


@then("the rules in force have not changed")
def step_unchanged(context):
    assert revisions(context.deployment) == context.before


@then("each process logs line, column and what was expected")
def step_logged(context):
    for name in running(context.deployment):
        output = context.deployment.processes.output(name)
        assert "line 6, column 12" in output, output[-1000:]
        assert "expected a duration" in output, output[-1000:]


@when("{operators:d} operators hand over {count:d} files each at once")
def step_operators(context, operators, count):
    def hand_over(operator):
        for number in range(count):
            line = f"* limit {100 * operator + number + 1}  # Operator {operator}\n"
            context.deployment.publish_value("rules", RULES + line)

    threads = [
        threading.Thread(target=hand_over, args=(operator,))
        for operator in range(operators)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.revision = 1 + operators * count


@then("each process has the same rules within {seconds:g} s")
def step_same(context, seconds):
    wait_in_force(context, running(context.deployment), seconds)
    statuses = context.deployment.statuses().values()
    assert len({item["rules_digest"] for item in statuses}) == 1


@when("each process is replaced, one after the other")
def step_replace(context):
    deployment = context.deployment
    context.seen = {}
    for host in deployment.hosts:
        for process in ("gather-0", "entry"):
            name = f"{host.name}-{process}"
            deployment.processes.kill(name)
            deployment.processes.restart(name)
            deployment.wait_ready(host)
            context.seen[name] = revisions(deployment)
    time.sleep(1.5)
    context.seen["at the end"] = revisions(deployment)


@then("no process ever had an older revision")
def step_never_older(context):
    for moment, found in context.seen.items():
        assert len(found) == 4, (moment, found)
        assert set(found.values()) == {context.revision}, (moment, found)


@when("{name} is frozen while {count:d} rules are handed over")
def step_frozen(context, name, count):
    context.deployment.processes.suspend(name)
    for number in range(count):
        line = f"* limit {number + 50}  # Test\n"
        context.revision = context.deployment.publish_value("rules", RULES + line)
        time.sleep(0.4)
    context.deployment.processes.resume(name)


@when("{name} is frozen while the family becomes not repeatable, and none tells it")
def step_frozen_change(context, name):
    deployment = context.deployment
    processes = [f"{name}-entry", f"{name}-gather-0"]
    for process in processes:
        deployment.processes.suspend(process)
    # Long enough for the processes to know on waking that they were paused.
    time.sleep(1.5)
    # The watches that were held end without the value.
    deployment.set_platform_fault(PlatformFault(down=True))
    deployment.publish_value("rules", RULES + f"{FAMILY} repeatable no  # Test\n")
    time.sleep(0.2)
    deployment.set_platform_fault(PlatformFault(delay_ms=150))
    caller = threading.Thread(target=search_first, args=(context,))
    caller.start()
    # The request lies in the frozen process's socket when it wakes up.
    time.sleep(0.2)
    for process in processes:
        deployment.processes.resume(process)
    caller.join()


def search_first(context):
    host = context.deployment.hosts[0]
    context.reply = context.deployment.search(host, FAMILY, "climber 1")


@then("its first answer after waking is a refusal as {reason}")
def step_first_answer(context, reason):
    assert context.reply.body.get("reason") == reason, context.reply


@given("a deployment in two parts")
def step_parts(context):
    families = (FamilyPlan(FAMILY), FamilyPlan(LETTERS, shards=1))
    context.deployment = PartitionedDeployment(DeploymentPlan(families, RULES))
    context.cleanup.append(context.deployment.stop)
    context.deployment.start()


@when("the parts are split")
def step_split(context):
    context.deployment.relays.cut()
    time.sleep(1.0)


@when("a new rule is handed over to the first part")
def step_hand_over_near(context):
    line = "* priority 3  # Test\n"
    context.revision = context.deployment.publish_to_first_platform(
        "rules", RULES + line
    )


@then("the first part has it within {seconds:g} s")
def step_first_part(context, seconds):
    wait_in_force(context, ["host-1-entry", "host-1-gather-0"], seconds)


@then("both parts serve whole answers within {seconds:g} s")
def step_both_serve(context, seconds):
    def is_whole(host):
        reply = context.deployment.search(host, FAMILY, "climber 1")
        return reply.body["outcome"] == "complete"

    # Until a call to the far part has failed, an answer may lack its shards.
    for host in context.deployment.hosts:
        wait_until(lambda host=host: is_whole(host), seconds, host.name)


@when("the split heals")
def step_heal(context):
    context.deployment.relays.heal()


def many_rules(limit):
    requester = "# Desk " + "x" * 46
    return "".join(
        f"family-{number:05} limit {limit}  {requester}\n"
        for number in range(MANY_RULES)
    )


@when("a million bytes of rules are handed over")
def step_million(context):
    text = RULES + many_rules(10)
    assert 900_000 < len(text) <= 1_000_000, len(text)
    context.revision = context.deployment.publish_value("rules", text)


@when("every rule of them is changed at once")
def step_release(context):
    text = RULES.replace("500ms", "600ms") + many_rules(20)
    context.revision = context.deployment.publish_value("rules", text)
