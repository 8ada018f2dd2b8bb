"""A prompt that crashes every engine that runs it: two engines at most, then refused at once by every router, also
while the platform is down; requests that shared the crash are answered whole; an operator lifts the quarantine."""

import json
import sys
import threading
import time

from cluster import (Cluster, bearer, chat_body, is_whole, request, serving_target, stream_chat, two_engine_cluster,
                     wait_until)

TOKENS = 60
POISON = "read this: CRASH-ENGINE"


def send_poison(router):
    start = time.monotonic()
    status, headers, text = request(router.port, "POST", "/v1/chat/completions", chat_body(POISON), bearer("tengri"))
    print("poison answered in %.0f ms" % ((time.monotonic() - start) * 1000), file=sys.stderr)
    return status, headers["X-Dogwoodlatch-Outcome"], json.loads(text)["error"]["code"]


def crashed(cluster):
    return sum(target.process.child.poll() is not None for target in cluster.targets)


def quarantine(router):
    return json.loads(request(router.ops_port, "GET", "/status")[2])["quarantine"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        routers = two_engine_cluster(cluster, options=["--token-ms", "20"], routers=2)
        reference, _, _ = stream_chat(routers[0].port, "tengri", "explain the log", TOKENS)
        for number in (3, 4):
            cluster.add_engine(f"engine-{number}", options=["--token-ms", "20"])
        cluster.wait_ready()
        wait_until(lambda: all(vm_list(router) >= 3 for router in routers), "the routers to see four targets")
        cluster.control({"down": True})

        # Innocent requests run everywhere, so the poison shares each crash with some.
        answers = []
        innocents = [threading.Thread(target=lambda r=routers[n % 2]: answers.append(
            stream_chat(r.port, "tengri", "explain the log", TOKENS))) for n in range(8)]
        for thread in innocents:
            thread.start()
        wait_until(lambda: serving_target(cluster) is not None, "a running request")
        print("poison", *send_poison(routers[0]))
        print("at most two engines crashed", crashed(cluster) <= 2)
        wait_until(lambda: any(e["state"] == "quarantined" for e in quarantine(routers[1])), "the peer to know")
        before = crashed(cluster)
        print("resent through the other router", *send_poison(routers[1]))
        print("no further crash", crashed(cluster) == before)
        for thread in innocents:
            thread.join()
        print("innocents whole", [is_whole(text, reference) and done for text, done, _ in answers].count(True))

        # The platform is back: the quarantine is written, and an operator lifts it by deleting the object.
        cluster.control({"down": False})
        digest = [e["digest"] for e in quarantine(routers[0]) if e["state"] == "quarantined"][0]
        path = "/objects/quarantine/" + digest
        wait_until(lambda: request(cluster.platform_port, "GET", path)[0] == 200, "the object")
        version = json.loads(request(cluster.platform_port, "GET", path)[2])["version"]
        print("lifted", request(cluster.platform_port, "DELETE", path, None, {"If-Match": str(version)})[0])
        wait_until(lambda: not any(e["state"] == "quarantined" for router in routers for e in quarantine(router)),
                   "the lift to arrive", 20)
        print("in force nowhere")


def vm_list(router):
    return json.loads(request(router.ops_port, "GET", "/status")[2])["vm_list"]
