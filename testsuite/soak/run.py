"""Runs two short seeds of the soak test; run `soak.py` by hand for more and longer ones."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from soak import run_seed  # noqa: E402  (sys.path is extended above)

SEEDS = (1, 5)  # seed 5 stops several routers while targets misbehave
SECONDS_PER_SEED = 4.0


def run(bin_dir):
    for seed in SEEDS:
        violations, _ = run_seed(bin_dir, seed, SECONDS_PER_SEED)
        print("seed", seed, "promises broken:", violations)
