"""Tests of the harness: port allocation and the report about the processes of a failed case."""

import os
import subprocess
import sys
import unittest

import cluster
from cluster import Cluster, free_port

ALLOCATED_PORTS = 2000
FIRST_OUTGOING_PORT = 32768


class FreePort(unittest.TestCase):
    # If two daemons get the same port, the second exits at once, and the first answers the second's health checks,
    # so that the harness takes the second for running.
    def test_gives_every_port_once(self):
        ports = [free_port() for _ in range(ALLOCATED_PORTS)]
        self.assertEqual(len(ports), len(set(ports)))

    def test_leaves_the_ports_of_outgoing_connections(self):
        self.assertLess(max(free_port() for _ in range(ALLOCATED_PORTS)), FIRST_OUTGOING_PORT)

    # Guards against a daemon that cannot be restarted because another case has taken its port in the meantime.
    def test_shares_no_port_with_another_process(self):
        ours = {free_port() for _ in range(ALLOCATED_PORTS)}
        command = [sys.executable, "-c", "import cluster\nprint(*(cluster.free_port() for _ in range(2000)))"]
        printed = subprocess.run(command, capture_output=True, check=True, text=True,
                                 cwd=os.path.dirname(os.path.abspath(__file__)))
        self.assertEqual(ours & {int(port) for port in printed.stdout.split()}, set())


class Report(unittest.TestCase):
    def test_names_a_process_that_ended_early(self):
        with Cluster(BIN_DIR) as cluster_under_test:
            used_port = cluster_under_test.platform_port
            cluster_under_test.start_process(
                "second", cluster_under_test.standin_command("platform", used_port)).child.wait(cluster.WAIT_SECONDS)
        second_reports = [report for report in Cluster.last_process_reports if "second" in report]
        self.assertEqual(len(second_reports), 1)
        self.assertIn("exit code before the end 1", second_reports[0])
        self.assertIn("cannot listen", second_reports[0])


if __name__ == "__main__":
    BIN_DIR = sys.argv.pop()
    unittest.main()
