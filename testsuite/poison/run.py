"""A prompt that crashes every engine that runs it crashes at most two; then every router refuses it at once, also while
the platform is down. Requests that ran on a crashed engine still complete. An operator can lift the quarantine."""

import json
import sys
import threading
import time

from cluster import (Cluster, bearer_headers, chat_body, is_complete, request, running_target, stream_chat,
                     start_two_engines, wait_until)

TOKENS = 60
POISON = "read this: CRASH-ENGINE"


def send_poison(router):
    start = time.monotonic()
    status, headers, text = request(router.port, "POST", "/v1/chat/completions", chat_body(POISON),
                                    bearer_headers("tengri"))
    print("poison answered in %.0f ms" % ((time.monotonic() - start) * 1000), file=sys.stderr)
    return status, headers["X-Dogwoodlatch-Outcome"], json.loads(text)["error"]["code"]


def count_crashed(cluster):
    return sum(target.process.child.poll() is not None for target in cluster.targets)


def quarantine_entries(router):
    return json.loads(request(router.ops_port, "GET", "/status")[2])["quarantine"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        routers = start_two_engines(cluster, options=["--token-ms", "20"], routers=2)
        reference, _, _ = stream_chat(routers[0].port, "tengri", "explain the log", TOKENS)
        for number in (3, 4):
            cluster.add_engine(f"engine-{number}", options=["--token-ms", "20"])
        cluster.wait_ready()
        wait_until(lambda: all(vm_list_version(router) >= 3 for router in routers), "the routers to see four targets")
        cluster.control({"down": True})

        # Harmless requests run on all engines, so that each crash hits some of them too.
        results = []
        other_callers = [threading.Thread(target=lambda r=routers[n % 2]: results.append(
            stream_chat(r.port, "tengri", "explain the log", TOKENS))) for n in range(8)]
        for thread in other_callers:
            thread.start()
        wait_until(lambda: running_target(cluster) is not None, "a running request")
        print("poison", *send_poison(routers[0]))
        print("at most two engines crashed", count_crashed(cluster) <= 2)
        wait_until(lambda: any(e["state"] == "quarantined" for e in quarantine_entries(routers[1])), "the peer to know")
        crashes_before = count_crashed(cluster)
        print("resent through the other router", *send_poison(routers[1]))
        print("no further crash", count_crashed(cluster) == crashes_before)
        for thread in other_callers:
            thread.join()
        print("innocents whole", [is_complete(text, reference) and done for text, done, _ in results].count(True))

        # Once the platform is back, the quarantine is stored there, and an operator lifts it by deleting the object.
        cluster.control({"down": False})
        digest = [e["digest"] for e in quarantine_entries(routers[0]) if e["state"] == "quarantined"][0]
        path = "/objects/quarantine/" + digest
        wait_until(lambda: request(cluster.platform_port, "GET", path)[0] == 200, "the object")
        version = json.loads(request(cluster.platform_port, "GET", path)[2])["version"]
        print("lifted", request(cluster.platform_port, "DELETE", path, None, {"If-Match": str(version)})[0])
        wait_until(lambda: not any(e["state"] == "quarantined"
                                   for router in routers for e in quarantine_entries(router)),
                   "the lift to arrive", 20)
        print("in force nowhere")


def vm_list_version(router):
    return json.loads(request(router.ops_port, "GET", "/status")[2])["vm_list"]
