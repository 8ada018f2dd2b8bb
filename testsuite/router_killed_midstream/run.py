"""SIGKILL of a router during a stream: a resend through the other router completes, and the first run is cancelled."""

import contextlib
import http.client

from cluster import Cluster, is_complete, count_running, stream_chat, start_two_engines, wait_until

TOKENS = 60
KILL_AT_PART = 10


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        routers = start_two_engines(cluster, routers=2)
        reference, _, _ = stream_chat(routers[1].port, "tengri", "explain the log", TOKENS)

        def kill_router(part):
            if part == KILL_AT_PART:
                routers[0].process.kill()

        done = False
        with contextlib.suppress(http.client.HTTPException, OSError):
            _, done, _ = stream_chat(routers[0].port, "tengri", "explain the log", TOKENS, kill_router)
        print("first answer whole", done)

        text, done, error = stream_chat(routers[1].port, "tengri", "explain the log", TOKENS)
        print("resend whole and in order", is_complete(text, reference), "done", done, "error", error)
        wait_until(lambda: sum(count_running(t) for t in cluster.targets) == 0, "the runs to end")
        print("nothing runs on")
