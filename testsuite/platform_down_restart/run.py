"""Routers restart while the platform is down: with a peer they serve again at once from its snapshot; without one they
refuse requests at once, with a reason."""

import json
import sys
import time

from cluster import Cluster, bearer_headers, chat_body, request, team_settings, wait_until


def serves_chat(router):
    return request(router.port, "POST", "/v1/chat/completions", chat_body("explain the log"),
                   bearer_headers("tengri"))[0] == 200


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/tengri", team_settings())
        cluster.add_engine("engine-1", options=["--token-ms", "2"])
        routers = [cluster.add_router(f"router-{i}") for i in (1, 2, 3)]
        cluster.wait_ready()
        cluster.connect_peers()

        cluster.platform.kill()
        for router in routers[:2]:
            router.process.kill()
        for router in routers[:2]:
            begin = time.monotonic()
            router.process.restart()
            wait_until(lambda r=router: serves_chat(r), "an answer")
            seconds = time.monotonic() - begin
            print(router.process.name, "serves while the platform is down, within 1 s:", seconds < 1.0)
            print(router.process.name, f"{seconds * 1000:.0f} ms from start to first answer", file=sys.stderr)

        # The peer that was never restarted is killed too; the routers that took its snapshot pass it on.
        routers[2].process.kill()
        routers[2].process.restart()
        wait_until(lambda: serves_chat(routers[2]), "an answer")
        print(routers[2].process.name, "serves while the platform is down")

        for router in routers:
            router.process.kill()
        routers[0].process.restart()
        wait_until(lambda: request(routers[0].ops_port, "GET", "/healthz")[0] == 200, "the process")
        status, headers, text = request(routers[0].port, "POST", "/v1/chat/completions", chat_body("explain the log"),
                                        bearer_headers("tengri"))
        print("without a peer:", status, headers["X-Dogwoodlatch-Outcome"], json.loads(text)["error"]["code"],
              "retry after", headers["Retry-After"])
        print("readyz", request(routers[0].ops_port, "GET", "/readyz")[0])
