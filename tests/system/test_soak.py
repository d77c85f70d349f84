"""Some seeds of the fault soak; soak.py runs more by hand."""

import pytest

from soak import run_apart

SEEDS = [1, 2]

# Seeds that failed once, each with its cause.
REGRESSIONS = {
    118: "an announcement that a paused replica had held up counted as news at "
         "the leader but not at routers, and later ones as renewals: routers "
         "did not hear of the endpoint again",
}

SECONDS = 12


@pytest.mark.parametrize("seed", SEEDS + list(REGRESSIONS))
def test_promises_hold_while_faults_overlap(seed):
    assert run_apart([seed], SECONDS, 1) == []
