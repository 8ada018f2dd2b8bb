"""kill -9 of the agent in mid-stream: the answer goes on at another target; the agent returns as a new incarnation."""

import json

from cluster import (Cluster, at_part, is_whole, print_whole, request, serving_target, stream_chat, two_engine_cluster,
                     wait_until)

TOKENS = 40
KILL_AT = 10


def incarnation(target):
    return json.loads(request(target.ops_port, "GET", "/status")[2])["incarnation"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = two_engine_cluster(cluster)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        killed = []

        def kill_agent():
            target = serving_target(cluster)
            killed.append((target, incarnation(target)))
            target.agent.kill()

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS, at_part(KILL_AT, kill_agent))
        print("killed", len(killed), "agent")
        print_whole(text, reference, done, error)

        target, before = killed[0]
        target.agent.restart()
        wait_until(lambda: request(target.ops_port, "GET", "/readyz")[0] == 200, "the agent")
        print("another incarnation", incarnation(target) != before)
        text, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        print("served after the return", is_whole(text, reference))
