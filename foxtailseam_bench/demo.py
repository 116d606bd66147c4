"""Demonstration: a small deployment on loopback, requests and the event timeline."""

import sys

from foxtailseam.cli import main as foxtailseam
from foxtailseam_bench._processes import wait_until
from foxtailseam_bench.deployment import Deployment
from foxtailseam_bench.plan import DeploymentPlan, FamilyPlan

RULES = """\
* deadline 500ms  # Demo, all families
certificate-lookup least-coverage 100%  # Qureshi, gate checks
letter-sender repeatable no  # Lakeshore, letters
"""


def main() -> int:
    """Run the demonstration and print its output; return the exit code 0."""
    families = (
        FamilyPlan("certificate-lookup", shards=3),
        FamilyPlan("letter-sender", shards=2),
    )
    with Deployment(DeploymentPlan(families, RULES)) as deployment:
        host = deployment.hosts[0]
        processes = ",".join(deployment.operator_addresses())
        _title("status of all processes")
        foxtailseam(["status", processes])
        _title("a search with complete coverage")
        foxtailseam(["search", host.callers, "certificate-lookup", "climber 1"])
        _title("the same search without the searchers of one shard: a partial answer")
        for address in deployment.searchers["certificate-lookup-01"]:
            deployment.processes.kill(deployment.searcher_name(address))
        foxtailseam(["search", host.callers, "certificate-lookup", "climber 1"])
        _title("a search in a family that the rules make non-repeatable: refused")
        foxtailseam(["search", host.callers, "letter-sender", "climber 1"])
        _title("a letter submitted to both entries with one ticket: run once")
        ticket = deployment.request_ticket(host, "letter-sender")
        for entry in deployment.hosts:
            print(deployment.submit(entry, "letter-sender", ticket, "letter 1").body)
        _title("a changed rule takes effect in every process")
        revision = deployment.publish_value("rules", RULES.replace("500ms", "400ms"))
        seconds = wait_until(
            lambda: all(
                status["rules"] == revision for status in deployment.statuses().values()
            ),
            3.0,
            "the new rules are in force in all processes",
        )
        print(f"revision {revision} in force in all processes after {seconds:.2f} s")
        _title("event timeline of all processes")
        foxtailseam(["timeline", processes])
    return 0


def _title(text: str) -> None:
    print(f"\n== {text}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
