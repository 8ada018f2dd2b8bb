"""SIGKILL of an agent during a stream: another target continues the stream; the agent restarts as a new incarnation."""

import json

from cluster import (Cluster, call_at_part, is_complete, print_stream, request, running_target, stream_chat,
                     start_two_engines, wait_until)

TOKENS = 40
KILL_AT_PART = 10


def read_incarnation(target):
    return json.loads(request(target.ops_port, "GET", "/status")[2])["incarnation"]


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        killed = []

        def kill_agent():
            target = running_target(cluster)
            killed.append((target, read_incarnation(target)))
            target.agent.kill()

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS,
                                        call_at_part(KILL_AT_PART, kill_agent))
        print("killed", len(killed), "agent")
        print_stream(text, reference, done, error)

        target, previous_incarnation = killed[0]
        target.agent.restart()
        wait_until(lambda: request(target.ops_port, "GET", "/readyz")[0] == 200, "the agent")
        print("another incarnation", read_incarnation(target) != previous_incarnation)
        text, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        print("served after the return", is_complete(text, reference))
