"""Platform outage during order confirmations: new ones are not run, finished ones get their stored response again."""

import time

from cluster import Cluster, bearer_headers, count_runs, request, team_settings

KEYS = [f"order-{n}" for n in range(8)]


def confirm(router, key):
    started = time.monotonic()
    status, headers, text = request(router.port, "POST", "/services/orders/confirm", {"order": key},
                                    {**bearer_headers("ounje"), "Idempotency-Key": key})
    return {"status": status, "outcome": headers["X-Dogwoodlatch-Outcome"], "text": text,
            "retry_after": headers.get("Retry-After"), "seconds": time.monotonic() - started}


def summarize(responses):
    return sorted({(a["status"], a["outcome"], a["retry_after"]) for a in responses}, key=str)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/ounje", team_settings(workspaces=("ounje",), services={"orders": {}}))
        for name in ("orders-1", "orders-2", "orders-3"):
            cluster.add_service(name, "orders")
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()

        before_outage = [confirm(routers[0], key) for key in KEYS]
        print("before", summarize(before_outage))

        cluster.control({"down": True})
        new_keys = [key + "-late" for key in KEYS]
        during_outage = [confirm(routers[n % 2], key) for n, key in enumerate(new_keys)]
        print("new ones in the outage", summarize(during_outage), "runs", count_runs(cluster, new_keys))
        print("told within a second", max(a["seconds"] for a in during_outage) < 1.0)
        repeated = [confirm(routers[1], key) for key in KEYS]
        print("finished ones in the outage", [a["text"] for a in repeated] == [a["text"] for a in before_outage])

        cluster.control({"down": False})
        time.sleep(1.0)
        print("after it", summarize([confirm(routers[1], key) for key in new_keys]))
        print("runs", count_runs(cluster, KEYS + new_keys))

        cluster.control({"lose_answers": 2})
        with_lost_responses = [confirm(routers[0], key + "-lost") for key in KEYS]
        print("with lost answers of writes", summarize(with_lost_responses),
              "runs", count_runs(cluster, [k + "-lost" for k in KEYS]))
