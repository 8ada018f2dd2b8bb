"""Two short seeds of the fault soak; `soak.py` plays more and longer ones by hand."""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from soak import run_seed  # noqa: E402  (the path is set above)

SEEDS = (1, 5)  # 5 stops several routers while targets spoil answers
SECONDS_PER_SEED = 4.0


def run(bin_dir):
    for seed in SEEDS:
        violations, _ = run_seed(bin_dir, seed, SECONDS_PER_SEED)
        print("seed", seed, "promises broken:", violations)
