"""Runs one end-to-end case: its run.py prints lines, which must equal ref/out.txt."""

import argparse
import contextlib
import difflib
import importlib.util
import io
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from cluster import Cluster  # noqa: E402  (the path is set above)


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
        sys.stdout.write("printed until then:\n" + printed.getvalue())
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
    """What the processes of the failed case logged; their files are gone by now."""
    sys.stdout.writelines(Cluster.last_process_reports)


if __name__ == "__main__":
    sys.exit(main())
