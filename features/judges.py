"""Judges: what must hold of every answer, whatever the fault."""

import re

HIT_TEXT = re.compile(r"(?P<query>.*) of (?P<shard>\S+) at version (?P<version>\d+)")
SETTLED = {"complete", "partial", "refused"}


def assert_truthful(observation):
    """Check snapshot, coverage and ownership of one answer."""
    reply = observation.reply
    assert reply is not None, f"cut: {observation}"
    body = reply.body
    assert body.get("outcome") in SETTLED, observation
    if body["outcome"] == "refused":
        return
    coverage = body["coverage"]
    included = coverage["included"]
    lacking = [item["shard"] for item in coverage["lacking"]]
    assert not set(included) & set(lacking), observation
    texts = [HIT_TEXT.fullmatch(hit["text"]) for hit in body["hits"]]
    # Each shard holds exactly one record for each query.
    assert len(texts) == len(included), observation
    assert len({text["shard"] for text in texts}) == len(texts), observation
    for text in texts:
        assert text["query"] == observation.query, observation
        assert int(text["version"]) == body["index_version"], observation
    is_complete = not lacking
    assert (body["outcome"] == "complete") == is_complete, observation
    assert all(item["reason"] for item in coverage["lacking"]), observation
    partitions = {name[-2] for name in included + lacking}
    assert len(partitions) == 1, f"shards of two maps: {observation}"


def is_complete(observation):
    """Return whether an answer is complete."""
    reply = observation.reply
    return reply is not None and reply.body.get("outcome") == "complete"
