"""Steps that start a deployment and send requests through all processes."""

from behave import given, then, when

from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan
from foxtailseam_bench.searcher import SearcherBehaviour

SEARCH_FAMILY = "certificate-lookup"
LETTER_FAMILY = "letter-sender"
RULES = """\
* deadline 500ms  # Ops
* hedge-budget 20%  # Ops
* retry-budget 50%  # Ops
certificate-lookup least-coverage 100%  # Gate checks
letter-sender repeatable no  # Letters
"""


def start_deployment(context, **changes):
    """Start a deployment that is stopped after the scenario.

    Parameters
    ----------
    context : behave.runner.Context
        Context of the scenario.
    **changes
        Fields of the `DeploymentPlan` that differ from the default here.
    """
    families = (FamilyPlan(SEARCH_FAMILY), FamilyPlan(LETTER_FAMILY, shards=1))
    values = {"families": families, "rules": RULES} | changes
    context.deployment = Deployment(DeploymentPlan(**values))
    context.cleanup.append(context.deployment.stop)
    context.deployment.start()


@given("a deployment")
def step_deployment(context):
    start_deployment(context)


@given("a deployment of {hosts:d} hosts")
def step_deployment_of(context, hosts):
    start_deployment(context, hosts=hosts)


@given("a deployment whose searchers take {milliseconds:d} ms")
def step_deployment_slow(context, milliseconds):
    behaviour = SearcherBehaviour(service_ms=milliseconds, spread=0.0)
    start_deployment(context, behaviour=behaviour)


@when('a caller searches for "{query}"')
def step_search(context, query):
    host = context.deployment.hosts[0]
    context.reply = context.deployment.search(host, SEARCH_FAMILY, query)


@when("a caller posts {body} to {path}")
def step_post(context, body, path):
    deployment = context.deployment
    url = f"http://{deployment.hosts[0].callers}{path}"
    context.http_reply = deployment.http.request(
        "POST", url, body=body.encode(), timeout=10.0
    )


@then("the answer is complete with {count:d} hits")
def step_complete(context, count):
    body = context.reply.body
    assert body["outcome"] == "complete", body
    assert body["coverage"]["lacking"] == [], body
    assert len(body["hits"]) == count, body


@then("the reply has status {status:d} and names {field}")
def step_status(context, status, field):
    assert context.http_reply.status == status, context.http_reply.data
    assert field in context.http_reply.data.decode(), context.http_reply.data
