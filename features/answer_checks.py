"""Checks that every answer must pass, whatever fault is injected."""

import re

HIT_TEXT = re.compile(r"(?P<query>.*) of (?P<shard>\S+) at version (?P<version>\d+)")
ALLOWED_OUTCOMES = {"complete", "partial", "refused"}


def assert_consistent(observation):
    """Check that an answer has one snapshot, accurate coverage and its own hits."""
    reply = observation.reply
    assert reply is not None, f"no reply: {observation}"
    body = reply.body
    assert body.get("outcome") in ALLOWED_OUTCOMES, observation
    if body["outcome"] == "refused":
        return
    coverage = body["coverage"]
    included = coverage["included"]
    lacking = [item["shard"] for item in coverage["lacking"]]
    assert not set(included) & set(lacking), observation
    matches = [HIT_TEXT.fullmatch(hit["text"]) for hit in body["hits"]]
    # Each shard holds exactly one record for each query.
    assert len(matches) == len(included), observation
    assert len({match["shard"] for match in matches}) == len(matches), observation
    for match in matches:
        assert match["query"] == observation.query, observation
        assert int(match["version"]) == body["index_version"], observation
    is_complete = not lacking
    assert (body["outcome"] == "complete") == is_complete, observation
    assert all(item["reason"] for item in coverage["lacking"]), observation
    partitions = {name[-2] for name in included + lacking}
    assert len(partitions) == 1, f"shards of two shard maps: {observation}"


def is_complete(observation):
    """Return whether the search was answered with outcome ``complete``."""
    reply = observation.reply
    return reply is not None and reply.body.get("outcome") == "complete"
