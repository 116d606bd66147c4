"""Steps with requests that crash searchers."""

import time

from behave import given, then, when

from features.steps.load_steps import start_load
from features.steps.path_steps import SEARCH_FAMILY, start_deployment
from foxtailseam_bench.plan import FamilyPlan

CRASHING_QUERY = "crash-me"


@given("a deployment of {hosts:d} hosts and {shards:d} shards, under load")
def step_deployment(context, hosts, shards):
    start_deployment(
        context, hosts=hosts, families=(FamilyPlan(SEARCH_FAMILY, shards=shards),)
    )
    context.deployment.set_behaviour_of_all(crash_on=CRASHING_QUERY)
    start_load(context)
    time.sleep(0.5)


@when("a crashing request is sent {count:d} times through all entries, every {gap:g} s")
def step_send_crashing_request(context, count, gap):
    hosts = context.deployment.hosts
    for number in range(count):
        host = hosts[number % len(hosts)]
        context.reply = context.deployment.search(host, SEARCH_FAMILY, CRASHING_QUERY)
        time.sleep(gap)


@then("at most {count:d} searchers are lost")
def step_searchers_lost(context, count):
    deployment = context.deployment
    names = [deployment.searcher_name(item) for item in deployment.all_searchers()]
    lost = [name for name in names if not deployment.processes.is_running(name)]
    assert len(lost) <= count, lost


@then("its last answer is a refusal with reason quarantined and Retry-After")
def step_quarantined(context):
    body = context.reply.body
    assert body["outcome"] == "refused", body
    assert body["reason"] == "quarantined", body
    assert int(context.reply.headers["Retry-After"]) > 0


@then("no other request was quarantined")
def step_no_other_quarantined(context):
    for item in context.load.observations:
        assert item.reply.body.get("reason") != "quarantined", item


@when("one searcher of each shard is killed, {gap:g} s apart")
def step_kill_one_searcher_per_shard(context, gap):
    deployment = context.deployment
    for addresses in list(deployment.searchers.values()):
        deployment.processes.kill(deployment.searcher_name(addresses[0]))
        time.sleep(gap)
