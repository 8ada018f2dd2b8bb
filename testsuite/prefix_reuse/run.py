"""Requests with one long prefix, sent through two routers, reach the engine that has cached it. Workspaces share no
cache."""

import json

from cluster import Cluster, bearer_headers, chat_body, request, team_settings, wait_until

PREFIX = "the common build template of the fleet; " * 400
PIECE_BYTES = 1024
# With the default time-out, a router on a busy machine may skip an agent whose probe reply is late; this case does not
# test that.
ROUTER_SETTINGS = {"routing": {"probe_timeout_ms": 1000}}


def send_chat(router, workspace, text):
    body = chat_body(PREFIX + text, max_tokens=2)
    status, _, response = request(router.port, "POST", "/v1/chat/completions", body, bearer_headers(workspace))
    assert status == 200, response


def stored_block_events(target):
    path = "/engine/cache_events?after=0&wait_ms=0"
    events = json.loads(request(target.target_port, "GET", path)[2])["events"]
    return [event for event in events if event["kind"] == 0]


def count_indexed_pieces(target):
    return json.loads(request(target.ops_port, "GET", "/status")[2])["indexed_pieces"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        settings = team_settings(("tengri", "ounje"), model_settings={"piece_bytes": PIECE_BYTES})
        cluster.put_object("settings/tengri", settings)
        options = ["--token-ms", "1", "--piece-bytes", str(PIECE_BYTES)]
        for index in range(4):
            cluster.add_engine(f"engine-{index}", options=options)
        routers = [cluster.add_router(name, ROUTER_SETTINGS) for name in ("router-1", "router-2")]
        cluster.wait_ready()

        send_chat(routers[0], "tengri", "log 0 " * 400)
        wait_until(lambda: any(count_indexed_pieces(target) for target in cluster.targets),
                   "the index of the first prompt")
        for index in range(1, 8):
            send_chat(routers[index % 2], "tengri", f"log {index} " * 400)
        served_per_engine = [len(stored_block_events(target)) for target in cluster.targets]
        print("requests at the engine that holds the prefix", max(served_per_engine),
              "elsewhere", sum(served_per_engine) - max(served_per_engine))

        send_chat(routers[0], "ounje", "log 0 " * 400)
        blocks = {}
        for target in cluster.targets:
            for event in stored_block_events(target):
                blocks.setdefault(event["blocks"][0], []).append(event["request_id"])
        print("first blocks of two workspaces", sorted(len(request_ids) for request_ids in blocks.values()))
