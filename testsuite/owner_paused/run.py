"""SIGSTOP of a claim log's owner during a wipe: another agent takes the log over, and no wipe runs twice."""

import json
import signal
import threading
import time

from cluster import Cluster, bearer_headers, request, team_settings, wait_until


def send_wipe(router, key):
    status, headers, _ = request(router.port, "POST", "/services/fleet/wipe/7", {},
                                 {**bearer_headers("tengri"), "Idempotency-Key": key})
    return status, headers["X-Dogwoodlatch-Outcome"]


def journal_lines(cluster, key):
    with open(cluster.targets[0].journal, encoding="utf-8") as file:
        return [line for line in file if line.split()[-1] == key]


def claim_log_head(cluster):
    return json.loads(request(cluster.platform_port, "GET", "/objects/claims/fleet/0/head")[2])["value"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        services = {"fleet": {"claim_logs": 1, "deadline_ms": 3000}}
        cluster.put_object("settings/tengri", team_settings(services=services))
        for name in ("fleet-1", "fleet-2"):
            cluster.add_service(name, "fleet", options=["--latency-ms", "500"])
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()

        first = []
        caller = threading.Thread(target=lambda: first.append(send_wipe(routers[0], "wipe-1")))
        caller.start()
        wait_until(lambda: journal_lines(cluster, "wipe-1"), "the wipe")
        owner = next(target for target in cluster.targets if target.id == claim_log_head(cluster)["owner"])
        owner.agent.send_signal(signal.SIGSTOP)
        print("the same wipe through the other router", *send_wipe(routers[1], "wipe-1"))
        print("another wipe", *send_wipe(routers[1], "wipe-2"))
        new_head = claim_log_head(cluster)
        print("taken over", new_head["owner"] != owner.id, "epoch", new_head["epoch"])
        caller.join()
        print("first caller", *first[0])

        owner.agent.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        print("after the freeze", *send_wipe(routers[0], "wipe-3"))
        print("runs", [len(journal_lines(cluster, f"wipe-{n}")) for n in (1, 2, 3)])
        print("epoch", claim_log_head(cluster)["epoch"])
