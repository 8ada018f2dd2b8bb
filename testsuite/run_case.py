"""Runs one end-to-end case; the output of its run.py must equal its ref/out.txt."""

import argparse
import contextlib
import difflib
import importlib.util
import io
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from cluster import Cluster  # noqa: E402  (sys.path is extended above)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("case")
    parser.add_argument("--bin-dir", required=True)
    arguments = parser.parse_args()
    spec = importlib.util.spec_from_file_location("case", os.path.join(arguments.case, "run.py"))
    case = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(case)
    printed = io.StringIO()
    try:
        with contextlib.redirect_stdout(printed):
            case.run(arguments.bin_dir)
    except Exception:
        sys.stdout.write("output before the exception:\n" + printed.getvalue())
        report_processes()
        raise
    with open(os.path.join(arguments.case, "ref", "out.txt"), encoding="utf-8") as file:
        expected = file.read()
    if printed.getvalue() == expected:
        return 0
    sys.stdout.writelines(difflib.unified_diff(expected.splitlines(True), printed.getvalue().splitlines(True),
                                               "expected", "printed"))
    report_processes()
    return 1


def report_processes():
    """Prints the exit codes and logs kept by Cluster, since the log files have been deleted."""
    sys.stdout.writelines(Cluster.last_process_reports)


if __name__ == "__main__":
    sys.exit(main())
