"""Faults that the scenarios inject, by name.

A frozen process stays suspended; a paused one resumes after `PAUSE_SECONDS`.
"""

import time

from foxtailseam_bench.platform_service import PlatformFault

SEARCH_FAMILY = "certificate-lookup"
PAUSE_SECONDS = 1.5


def first_shard(deployment):
    return deployment.searchers[f"{SEARCH_FAMILY}-00"]


def publish_new_version(deployment):
    deployment.publish_snapshots(2)


def repartition_shards(deployment):
    names = [f"{SEARCH_FAMILY}-10", f"{SEARCH_FAMILY}-11"]
    new_shards = dict(zip(names, list(deployment.searchers.values())[:2], strict=True))
    deployment.publish_snapshots(2, {**deployment.searchers, **new_shards})
    final_shards = {
        k: v for k, v in deployment.searchers.items() if SEARCH_FAMILY not in k
    } | new_shards
    deployment.publish_snapshots(3, final_shards)


def keep_searcher_at_old_version(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], versions=[1])
    deployment.publish_snapshots(2)


def remove_old_version(deployment):
    deployment.set_behaviour_of_all(versions=[2])
    time.sleep(0.3)
    deployment.publish_snapshots(2)


def answer_with_wrong_version(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], answer_version=9)


def kill_searcher(deployment):
    address = first_shard(deployment)[0]
    deployment.processes.kill(deployment.searcher_name(address))


def kill_second_searcher(deployment):
    address = first_shard(deployment)[1]
    deployment.processes.kill(deployment.searcher_name(address))


def kill_shard(deployment):
    kill_searcher(deployment)
    kill_second_searcher(deployment)


def slow_down_searcher(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], slow_factor=500.0)


def slow_down_shard(deployment):
    for address in first_shard(deployment):
        deployment.set_behaviour(address, slow_factor=500.0)


def shed_half_of_requests(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], shed=0.5)


def send_answers_twice(deployment):
    deployment.set_behaviour_of_all(double=True)


def return_previous_answers(deployment):
    for address in first_shard(deployment):
        deployment.set_behaviour(address, crossed=True)


def reset_connections(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], cut="after")


def make_connections_unresponsive(deployment):
    deployment.set_behaviour_of_all(silence=True)


def kill_gather(deployment):
    deployment.processes.kill("host-2-gather-0")


def freeze_gather(deployment):
    deployment.processes.suspend("host-2-gather-0")


def pause_gather(deployment):
    pause(deployment, "host-2-gather-0")


def pause_entry(deployment):
    pause(deployment, "host-1-entry")


def pause_searcher(deployment):
    pause(deployment, deployment.searcher_name(first_shard(deployment)[0]))


def pause(deployment, name):
    deployment.processes.suspend(name)
    time.sleep(PAUSE_SECONDS)
    deployment.processes.resume(name)


def fail_platform_reads(deployment):
    deployment.set_platform_fault(PlatformFault(down=True))


def kill_platform(deployment):
    deployment.processes.kill("platform")


def serve_stale_platform_values(deployment):
    deployment.set_platform_fault(PlatformFault(stale_by=1))


def slow_down_platform(deployment):
    deployment.set_platform_fault(PlatformFault(delay_ms=700))


FAULTS = {
    "no fault": lambda deployment: None,
    "new version published": publish_new_version,
    "shards repartitioned": repartition_shards,
    "searcher a version behind": keep_searcher_at_old_version,
    "old version removed": remove_old_version,
    "searcher answers another version": answer_with_wrong_version,
    "searcher killed": kill_searcher,
    "second searcher killed": kill_second_searcher,
    "shard killed": kill_shard,
    "straggling searcher": slow_down_searcher,
    "straggling shard": slow_down_shard,
    "searcher sheds half of its requests": shed_half_of_requests,
    "answers sent twice": send_answers_twice,
    "answers of previous requests": return_previous_answers,
    "connections reset": reset_connections,
    "connections unresponsive": make_connections_unresponsive,
    "gather killed": kill_gather,
    "gather frozen": freeze_gather,
    "gather paused": pause_gather,
    "entry paused": pause_entry,
    "searcher paused": pause_searcher,
    "platform down": fail_platform_reads,
    "platform killed": kill_platform,
    "platform stale": serve_stale_platform_values,
    "platform slow": slow_down_platform,
}


def inject_fault(deployment, name):
    """Inject one or more faults, given as names joined by ``" + "``."""
    for part in name.split(" + "):
        FAULTS[part](deployment)
