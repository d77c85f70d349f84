"""Runs a few seeds of the fault soak; soak.py runs others by hand."""

import pytest

from soak import run_in_processes

SEEDS = [1, 2]

# Seeds that failed before, each with the cause.
REGRESSIONS = {
    118: "the leader registered an endpoint from a heartbeat that a paused "
         "replica had delayed; routers ignored it, and later heartbeats only "
         "renewed it: routers did not learn of the endpoint again",
    **dict.fromkeys((41032, 41036, 41038),
                    "a sound prompt part that requests with three deadly "
                    "parts had in common was quarantined"),
}

SECONDS = 12


@pytest.mark.parametrize("seed", SEEDS + list(REGRESSIONS))
def test_guarantees_hold_under_overlapping_faults(seed):
    assert run_in_processes([seed], SECONDS, 1) == []
