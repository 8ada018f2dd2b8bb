"""SIGKILL of an agent during a wipe: the wipe is sent again through the other router and runs only once."""

import json
import threading

from cluster import Cluster, bearer_headers, request, team_settings, wait_until


def send_wipe(router, key):
    status, headers, text = request(router.port, "POST", "/services/fleet/wipe/7", {},
                                    {**bearer_headers("tengri"), "Idempotency-Key": key})
    return status, headers["X-Dogwoodlatch-Outcome"], text


def journal_lines(cluster, key):
    with open(cluster.targets[0].journal, encoding="utf-8") as file:
        return [line for line in file if line.split()[-1] == key]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/tengri", team_settings(services={"fleet": {}}))
        for name in ("fleet-1", "fleet-2", "fleet-3"):
            cluster.add_service(name, "fleet", options=["--latency-ms", "1500"])
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()

        first = []
        caller = threading.Thread(target=lambda: first.append(send_wipe(routers[0], "wipe-7")))
        caller.start()
        wait_until(lambda: journal_lines(cluster, "wipe-7"), "the wipe")
        head = next(json.loads(request(cluster.platform_port, "GET", f"/objects/claims/fleet/{log}/head")[2])["value"]
                    for log in range(4)
                    if request(cluster.platform_port, "GET", f"/objects/claims/fleet/{log}/head")[0] == 200)
        owner = next(target for target in cluster.targets if target.id == head["owner"])
        owner.agent.kill()
        caller.join()
        print("killed in the middle", first[0][0], first[0][1])

        print("sent again", *send_wipe(routers[1], "wipe-7")[:2])
        owner.agent.restart()
        wait_until(lambda: request(owner.ops_port, "GET", "/readyz")[0] == 200, "the agent")
        print("sent again after the restart", *send_wipe(routers[1], "wipe-7")[:2])
        print("runs", len(journal_lines(cluster, "wipe-7")))

        first_result = send_wipe(routers[0], "wipe-8")
        print("another wipe", *first_result[:2])
        print("its resend has the same answer", send_wipe(routers[1], "wipe-8") == first_result)
        print("runs", len(journal_lines(cluster, "wipe-8")))
        status, _, text = request(routers[1].port, "POST", "/services/fleet/wipe/9", {},
                                  {**bearer_headers("tengri"), "Idempotency-Key": "wipe-8"})
        print("same key, another call", status, json.loads(text)["error"]["code"])
