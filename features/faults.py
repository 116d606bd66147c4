"""Faults by name, for the tables of the scenarios."""

import time

from foxtailseam_bench.platform_service import PlatformFault

FAMILY = "certificate-lookup"
FREEZE_SECONDS = 1.5


def first_shard(deployment):
    return deployment.searchers[f"{FAMILY}-00"]


def publish_version(deployment):
    deployment.publish_snapshots(2)


def repartition(deployment):
    names = [f"{FAMILY}-10", f"{FAMILY}-11"]
    maps = dict(zip(names, list(deployment.searchers.values())[:2], strict=True))
    deployment.publish_snapshots(2, {**deployment.searchers, **maps})
    kept = {k: v for k, v in deployment.searchers.items() if FAMILY not in k} | maps
    deployment.publish_snapshots(3, kept)


def searcher_behind(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], versions=[1])
    deployment.publish_snapshots(2)


def version_gone(deployment):
    deployment.set_behaviour_of_all(versions=[2])
    time.sleep(0.3)
    deployment.publish_snapshots(2)


def wrong_version(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], answer_version=9)


def kill_searcher(deployment):
    address = first_shard(deployment)[0]
    deployment.processes.kill(deployment.searcher_name(address))


def kill_other_searcher(deployment):
    address = first_shard(deployment)[1]
    deployment.processes.kill(deployment.searcher_name(address))


def kill_shard(deployment):
    kill_searcher(deployment)
    kill_other_searcher(deployment)


def slow_searcher(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], slow_factor=500.0)


def slow_shard(deployment):
    for address in first_shard(deployment):
        deployment.set_behaviour(address, slow_factor=500.0)


def shed_half(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], shed=0.5)


def double_answers(deployment):
    deployment.set_behaviour_of_all(double=True)


def crossed_answers(deployment):
    for address in first_shard(deployment):
        deployment.set_behaviour(address, crossed=True)


def cut_connections(deployment):
    deployment.set_behaviour(first_shard(deployment)[0], cut="after")


def silent_connections(deployment):
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
    time.sleep(FREEZE_SECONDS)
    deployment.processes.resume(name)


def platform_down(deployment):
    deployment.set_platform_fault(PlatformFault(down=True))


def platform_killed(deployment):
    deployment.processes.kill("platform")


def platform_stale(deployment):
    deployment.set_platform_fault(PlatformFault(stale_by=1))


def platform_slow(deployment):
    deployment.set_platform_fault(PlatformFault(delay_ms=700))


FAULTS = {
    "no fault": lambda deployment: None,
    "new version published": publish_version,
    "shards repartitioned": repartition,
    "searcher a version behind": searcher_behind,
    "old version gone": version_gone,
    "searcher answers another version": wrong_version,
    "searcher killed": kill_searcher,
    "second searcher killed": kill_other_searcher,
    "shard killed": kill_shard,
    "straggling searcher": slow_searcher,
    "straggling shard": slow_shard,
    "searcher sheds half": shed_half,
    "answers sent twice": double_answers,
    "answers crossed": crossed_answers,
    "connections cut": cut_connections,
    "connections silent": silent_connections,
    "gather killed": kill_gather,
    "gather frozen": freeze_gather,
    "gather paused": pause_gather,
    "entry paused": pause_entry,
    "searcher paused": pause_searcher,
    "platform down": platform_down,
    "platform killed": platform_killed,
    "platform stale": platform_stale,
    "platform slow": platform_slow,
}


def bring_about(deployment, name):
    """Bring about a fault by its name; pairs are joined by a plus sign."""
    for part in name.split(" + "):
        FAULTS[part](deployment)
