"""Platform outage after a third target joined: a router that asks the wrong agent first goes on to the others."""

import signal

from cluster import Cluster, bearer_headers, count_runs, request, router_status, team_settings, wait_until

KEYS = [f"order-{n}" for n in range(24)]


def confirm(router, key):
    status, headers, text = request(router.port, "POST", "/services/orders/confirm", {"order": key},
                                    {**bearer_headers("ounje"), "Idempotency-Key": key})
    return status, headers["X-Dogwoodlatch-Outcome"], text


def outcomes(responses):
    return sorted({(status, outcome) for status, outcome, _ in responses})


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        services = {"orders": {"claim_logs": 16, "deadline_ms": 5000}}
        cluster.put_object("settings/ounje", team_settings(workspaces=("ounje",), services=services))
        for name in ("orders-1", "orders-2"):
            cluster.add_service(name, "orders")
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()
        before_outage = [confirm(routers[0], key) for key in KEYS]
        print("before", outcomes(before_outage))

        known = router_status(routers[1])["vm_list"]
        cluster.add_service("orders-3", "orders")
        cluster.wait_ready()
        wait_until(lambda: router_status(routers[1])["vm_list"] > known, "the third target")
        cluster.control({"down": True})
        repeated = [confirm(routers[1], key) for key in KEYS]
        print("finished ones at the other router", outcomes(repeated),
              "same responses", [text for _, _, text in repeated] == [text for _, _, text in before_outage])
        new_keys = [key + "-late" for key in KEYS]
        print("new ones", outcomes([confirm(routers[1], key) for key in new_keys]),
              "runs", count_runs(cluster, new_keys))

        for target in cluster.targets[:2]:
            target.agent.send_signal(signal.SIGKILL)
        print("finished ones without their agents", outcomes([confirm(routers[1], key) for key in KEYS]))

        cluster.control({"down": False})
        print("runs", count_runs(cluster, KEYS))
