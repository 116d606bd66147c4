"""Steps of requests that crash searchers."""

import time

from behave import given, then, when

from features.steps.load_steps import begin_load
from features.steps.path_steps import FAMILY, start
from foxtailseam_bench.plan import FamilyPlan

POISON = "crash-me"


@given("a deployment of {hosts:d} hosts and {shards:d} shards, under load")
def step_deployment(context, hosts, shards):
    start(context, hosts=hosts, families=(FamilyPlan(FAMILY, shards=shards),))
    context.deployment.set_behaviour_of_all(crash_on=POISON)
    begin_load(context)
    time.sleep(0.5)


@when("a crashing request is sent {count:d} times through all entries, every {gap:g} s")
def step_poison(context, count, gap):
    hosts = context.deployment.hosts
    for number in range(count):
        host = hosts[number % len(hosts)]
        context.reply = context.deployment.search(host, FAMILY, POISON)
        time.sleep(gap)


@then("at most {count:d} searchers are lost")
def step_lost(context, count):
    deployment = context.deployment
    names = [deployment.searcher_name(item) for item in deployment.all_searchers()]
    lost = [name for name in names if not deployment.processes.is_running(name)]
    assert len(lost) <= count, lost


@then("its last answer is a refusal as quarantined, with when to come back")
def step_quarantined(context):
    body = context.reply.body
    assert body["outcome"] == "refused", body
    assert body["reason"] == "quarantined", body
    assert int(context.reply.headers["Retry-After"]) > 0


@then("no innocent was quarantined")
def step_innocents(context):
    for item in context.load.observations:
        assert item.reply.body.get("reason") != "quarantined", item


@when("one searcher of each shard is killed, {gap:g} s apart")
def step_rack(context, gap):
    deployment = context.deployment
    for addresses in list(deployment.searchers.values()):
        deployment.processes.kill(deployment.searcher_name(addresses[0]))
        time.sleep(gap)
