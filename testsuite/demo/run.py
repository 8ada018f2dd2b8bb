"""Demo: starts a complete system on the loopback interface, replays the recorded trace and prints the results."""

import argparse
import collections
import concurrent.futures
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from client import run_client  # noqa: E402
from cluster import HOST, Cluster, team_settings  # noqa: E402
from replay import PIECE_BYTES, REQUESTS_PER_PROGRESS_LINE, Replayer, load_trace, recomputed_tokens  # noqa: E402

ENGINES = 4
ROUTERS = 2
DOMAINS = ("a", "b")
CALLER_THREADS = 24
MODEL_SETTINGS = {"piece_bytes": PIECE_BYTES}
SERVICES = {
    "fleet": {"idempotent_routes": [{"method": "GET", "path": "/devices/*"}]},
    "orders": {"idempotent_routes": [{"method": "GET", "path": "/orders/*"}]},
    "payments": {},
}
OBJECTIVES = {
    "schools": {"first-token": {"serves": "assistant", "share": 0.9, "first_token_ms": 2000}},
    "meals": {"first-token": {"serves": "menu", "share": 0.99, "first_token_ms": 1000},
              "payments": {"serves": "payments", "share": 0.999}},
}
ENGINE_OPTIONS = ["--piece-bytes", str(PIECE_BYTES), "--cache-pieces", "40", "--prefill-rate", "20000",
                  "--token-ms", "5"]


def put_settings(cluster, name, workspace, model, services):
    settings = team_settings((workspace,), (model,), {service: SERVICES[service] for service in services},
                             MODEL_SETTINGS)
    cluster.put_object("settings/" + name, {**settings, "objectives": OBJECTIVES[name]})


def start_system(cluster):
    put_settings(cluster, "schools", "tengri", "assistant", ("fleet",))
    put_settings(cluster, "meals", "ounje", "menu", ("orders", "payments"))
    for number in range(ENGINES):
        model = "assistant" if number < ENGINES // 2 else "menu"
        cluster.add_engine(f"engine-{number + 1}", model, DOMAINS[number % 2], ENGINE_OPTIONS)
    for service in SERVICES:
        cluster.add_service(service + "-1", service)
    for number in range(ROUTERS):
        cluster.add_router(f"router-{number + 1}", {"failure_domain": DOMAINS[number % 2]})
    cluster.wait_ready()


def run_trace(replayer, trace):
    """Sends each request at its recorded time; returns the results in the order of the trace."""
    results = []
    begin = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as callers:
        pending = []
        for number, record in enumerate(trace):
            time.sleep(max(0.0, begin + record["at_ms"] / 1000 - time.monotonic()))
            pending.append(callers.submit(replayer.send, number, record))
            if (number + 1) % REQUESTS_PER_PROGRESS_LINE == 0:
                print(f"  {number + 1:3d} of {len(trace)} requests sent", flush=True)
        results = [future.result() for future in pending]
    return results


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_results(results):
    chats = [r for r in results if r.ttft_seconds is not None]
    cached = sum(r.cached_tokens for r in chats)
    prompt = sum(r.prompt_tokens for r in chats)
    wasted = recomputed_tokens(chats)
    ttft = [r.ttft_seconds * 1000 for r in chats]
    print(f"prefix hit rate       {cached / prompt:6.3f}  ({cached} of {prompt} prompt tokens came from a cache)")
    print(
        f"wasted recomputation  {wasted / prompt:6.3f}  ({wasted} tokens computed that an engine had computed before)")
    print("time to first token   " + "  ".join(f"p{int(s * 100)} {percentile(ttft, s):.0f} ms"
                                               for s in (0.5, 0.95, 0.99)))
    outcomes = collections.Counter(r.outcome for r in results)
    print("outcomes              " + "  ".join(f"{name} {count}" for name, count in sorted(outcomes.items())))


def find_wrong_run_counts(cluster, trace):
    """Returns a fault for each confirmation that did not run exactly once."""
    ran = collections.Counter()
    for target in cluster.targets:
        if target.journal:
            with open(target.journal, encoding="utf-8") as lines:
                ran.update(line.split()[2] for line in lines if len(line.split()) == 3)
    keys = [record["key"] for record in trace if "key" in record]
    return [f"{key} ran {ran[key]} times" for key in keys if ran[key] != 1]


def print_burn_report(bin_dir, cluster):
    """Prints the operators' burn report; returns a list with the fault if the client failed."""
    daemons = ",".join(f"{HOST}:{router.ops_port}" for router in cluster.routers)
    code, text, errors = run_client(bin_dir, "report", "burn", "--daemons", daemons)
    print("\n" + text)
    return [] if code == 0 else [f"report burn ended with {code}: {errors}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin-dir", required=True)
    arguments = parser.parse_args()
    trace = load_trace()
    print(f"starting a platform, {ENGINES} engines, {len(SERVICES)} services, their agents and {ROUTERS} routers")
    with Cluster(arguments.bin_dir) as cluster:
        start_system(cluster)
        print("running the recorded trace")
        results = run_trace(Replayer(cluster), trace)
        print_results(results)
        faults = [r.fault for r in results if r.fault] + find_wrong_run_counts(cluster, trace)
        faults += print_burn_report(arguments.bin_dir, cluster)
        exits = {p.name: p.stop() for p in reversed(cluster.processes)}
    faults += [f"{name} ended with {code}" for name, code in exits.items() if code != 0]
    print(f"stopped {len(exits)} processes")
    for fault in faults:
        print("FAULT", fault)
    print("demo passed" if not faults else f"demo failed with {len(faults)} faults")
    return 0 if not faults else 1


if __name__ == "__main__":
    sys.exit(main())
