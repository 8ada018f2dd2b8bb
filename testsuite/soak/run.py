"""Runs short seeds of the soak test; run `soak.py` by hand for more and longer ones."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from soak import FAULTS, run_seed  # noqa: E402  (sys.path is extended above)

CASES = (
    (1, 4.0, FAULTS),  # failed: connections closed at exactly the idle limit while requests crossed the close
    (5, 4.0, FAULTS),  # failed: connections closed at the idle limit while several routers stop and targets misbehave
    (2, 6.0, ["make_targets_fall_silent"]),  # failed: streams broken off for silence, as the second target failed
)


def run(bin_dir):
    for seed, seconds, faults in CASES:
        violations, _ = run_seed(bin_dir, seed, seconds, faults)
        print("seed", seed, "promises broken:", violations)
