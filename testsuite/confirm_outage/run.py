"""The platform goes down during order confirmations: new ones are not run, finished ones are answered again."""

import time

from cluster import Cluster, bearer, request, team

KEYS = [f"order-{n}" for n in range(8)]


def confirm(router, key):
    started = time.monotonic()
    status, headers, text = request(router.port, "POST", "/services/orders/confirm", {"order": key},
                                    {**bearer("ounje"), "Idempotency-Key": key})
    return {"status": status, "outcome": headers["X-Dogwoodlatch-Outcome"], "text": text,
            "retry_after": headers.get("Retry-After"), "seconds": time.monotonic() - started}


def summary(answers):
    return sorted({(a["status"], a["outcome"], a["retry_after"]) for a in answers}, key=str)


def runs(cluster, keys):
    with open(cluster.targets[0].journal, encoding="utf-8") as file:
        ran = [line.split()[-1] for line in file]
    return sorted({ran.count(key) for key in keys})


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/ounje", team(workspaces=("ounje",), services={"orders": {}}))
        for name in ("orders-1", "orders-2", "orders-3"):
            cluster.add_service(name, "orders")
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()

        before = [confirm(routers[0], key) for key in KEYS]
        print("before", summary(before))

        cluster.control({"down": True})
        late = [key + "-late" for key in KEYS]
        down = [confirm(routers[n % 2], key) for n, key in enumerate(late)]
        print("new ones in the outage", summary(down), "runs", runs(cluster, late))
        print("told within a second", max(a["seconds"] for a in down) < 1.0)
        again = [confirm(routers[1], key) for key in KEYS]
        print("finished ones in the outage", [a["text"] for a in again] == [a["text"] for a in before])

        cluster.control({"down": False})
        time.sleep(1.0)
        print("after it", summary([confirm(routers[1], key) for key in late]))
        print("runs", runs(cluster, KEYS + late))

        cluster.control({"lose_answers": 2})
        lost = [confirm(routers[0], key + "-lost") for key in KEYS]
        print("with lost answers of writes", summary(lost), "runs", runs(cluster, [k + "-lost" for k in KEYS]))
