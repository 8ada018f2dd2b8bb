"""Requests under one long prefix meet at the engine that holds it, through two routers; workspaces share no cache."""

import json

from cluster import Cluster, bearer, chat_body, request, team, wait_until

PREFIX = "the common build template of the fleet; " * 400
PIECE_BYTES = 1024
# An agent that answers its probe late on a busy machine is passed over, which is another promise than this case's.
PATIENT = {"routing": {"probe_timeout_ms": 1000}}


def ask(router, workspace, text):
    body = chat_body(PREFIX + text, max_tokens=2)
    status, _, answer = request(router.port, "POST", "/v1/chat/completions", body, bearer(workspace))
    assert status == 200, answer


def held_events(target):
    path = "/engine/cache_events?after=0&wait_ms=0"
    events = json.loads(request(target.target_port, "GET", path)[2])["events"]
    return [event for event in events if event["kind"] == 0]


def indexed(target):
    return json.loads(request(target.ops_port, "GET", "/status")[2])["indexed_pieces"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        settings = team(("tengri", "ounje"), model_settings={"piece_bytes": PIECE_BYTES})
        cluster.put_object("settings/tengri", settings)
        options = ["--token-ms", "1", "--piece-bytes", str(PIECE_BYTES)]
        for index in range(4):
            cluster.add_engine(f"engine-{index}", options=options)
        routers = [cluster.add_router(name, PATIENT) for name in ("router-1", "router-2")]
        cluster.wait_ready()

        ask(routers[0], "tengri", "log 0 " * 400)
        wait_until(lambda: any(indexed(target) for target in cluster.targets), "the index of the first prompt")
        for index in range(1, 8):
            ask(routers[index % 2], "tengri", f"log {index} " * 400)
        served = [len(held_events(target)) for target in cluster.targets]
        print("requests at the engine that holds the prefix", max(served), "elsewhere", sum(served) - max(served))

        ask(routers[0], "ounje", "log 0 " * 400)
        blocks = {}
        for target in cluster.targets:
            for event in held_events(target):
                blocks.setdefault(event["blocks"][0], []).append(event["request_id"])
        print("first blocks of two workspaces", sorted(len(runs) for runs in blocks.values()))
