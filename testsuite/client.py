"""Runs the operators' command-line client."""

import os
import subprocess

TIMEOUT_SECONDS = 30.0


def run_client(bin_dir, *arguments):
    """Returns (exit code, standard output, standard error)."""
    completed = subprocess.run([os.path.join(bin_dir, "dogwoodlatch"), *arguments], capture_output=True, text=True,
                               timeout=TIMEOUT_SECONDS, check=False)
    return completed.returncode, completed.stdout, completed.stderr
