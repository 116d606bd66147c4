"""Tests of the choice of the connection to close."""

import pytest

from foxtailseam.http._connection_use import (
    ConnectionUse,
    UseKind,
    choose_connection_to_close,
)

IDLE, READING, STALLED, SERVING = UseKind
USES = {
    "new": ConnectionUse(IDLE, 9.0),
    "served": ConnectionUse(SERVING, 0.0),
    "stalled": ConnectionUse(STALLED, 1.0),
    "read": ConnectionUse(READING, 5.0),
    "read longer": ConnectionUse(READING, 3.0),
    "idle": ConnectionUse(IDLE, 8.0),
    "idle longer": ConnectionUse(IDLE, 7.0),
}


class TestChoice:
    @pytest.mark.parametrize(
        ("gone", "chosen"),
        [
            ([], "idle longer"),
            (["idle longer"], "idle"),
            (["idle longer", "idle"], "read longer"),
            (["idle longer", "idle", "read longer", "read"], "stalled"),
        ],
    )
    def test_the_one_whose_close_costs_least(self, gone, chosen):
        uses = {name: use for name, use in USES.items() if name not in gone}
        assert choose_connection_to_close(uses, "new") == chosen

    # Guards against: a request that may have run is cut off for a new connection.
    def test_a_request_that_runs_is_not_cut_off(self):
        uses = {name: USES[name] for name in ("new", "served")}
        assert choose_connection_to_close(uses, "new") == "new"
