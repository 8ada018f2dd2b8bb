"""Measures added latency, and the processor time and memory of each role, on running daemons.

usage: daemons.py --bin-dir DIR [--targets N] [--requests N]
Prints JSON lines, which docs/CAPACITY.md quotes. It measures only and never fails on a value.
"""

import argparse
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from cluster import Cluster, HOST, team_settings  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
IDLE_SECONDS = 10
ENGINE_OPTIONS = ["--token-ms", "1", "--prefill-rate", "1000000000"]


def cpu_seconds(process):
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(process):
    with open(f"/proc/{process.child.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0.0


def report(figure, **values):
    print(json.dumps({"figure": figure, **values}), flush=True)


def run_load(cluster, port, requests, concurrency, max_tokens):
    command = [cluster.program_path("dogwoodlatch-bench"), "load", "--address", f"{HOST}:{port}", "--key", "key-tengri",
               "--requests", str(requests), "--concurrency", str(concurrency), "--max-tokens", str(max_tokens)]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def measure_idle(cluster, router):
    agent = cluster.targets[0].agent
    before = [(p, cpu_seconds(p)) for p in (router.process, agent)]
    calls = cluster.control({})
    time.sleep(IDLE_SECONDS)
    after = cluster.control({})
    for process, used in before:
        report("idle", process=process.name, core_share=(cpu_seconds(process) - used) / IDLE_SECONDS,
               resident_mb=resident_mb(process))
    report("platform_calls_idle", daemons=1 + len(cluster.targets),
           reads_per_second=(after["reads"] - calls["reads"]) / IDLE_SECONDS)


def measure_busy(cluster, router, requests):
    direct = run_load(cluster, cluster.targets[0].target_port, requests, 1, 1)
    routed = run_load(cluster, router.port, requests, 1, 1)
    report("direct", **direct)
    report("routed", **routed)
    for percentile in ("p50_ms", "p99_ms"):
        report("added_first_token", share=percentile,
               ms=routed["first_token"][percentile] - direct["first_token"][percentile])
    for max_tokens in (1, 101):
        processes = [router.process] + [t.agent for t in cluster.targets]
        before = {p.name: cpu_seconds(p) for p in processes}
        result = run_load(cluster, router.port, requests, 8, max_tokens)
        used = {p.name: cpu_seconds(p) - before[p.name] for p in processes}
        agents = sum(v for k, v in used.items() if k != router.process.name)
        report("processor_time", max_tokens=max_tokens, complete=result["complete"],
               router_ms_per_request=1000 * used[router.process.name] / requests,
               agents_ms_per_request=1000 * agents / requests)
    report("resident", router_mb=resident_mb(router.process), agent_mb=resident_mb(cluster.targets[0].agent))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--targets", type=int, default=4)
    parser.add_argument("--requests", type=int, default=1000)
    arguments = parser.parse_args()
    with Cluster(arguments.bin_dir) as cluster:
        cluster.put_object("settings/tengri", team_settings())
        for index in range(arguments.targets):
            cluster.add_engine(f"engine-{index}", options=ENGINE_OPTIONS)
        router = cluster.add_router("router-1")
        cluster.wait_ready()
        measure_idle(cluster, router)
        measure_busy(cluster, router, arguments.requests)


if __name__ == "__main__":
    main()
