"""SIGKILL of the engine during a stream: the caller receives each token once and in order."""

import sys
import time

from cluster import Cluster, call_at_part, is_complete, print_stream, running_target, stream_chat, start_two_engines

TOKENS = 40
KILL_AT_PART = 10


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        killed = []

        def kill_engine():
            target = running_target(cluster)
            target.process.kill()
            killed.append(target)

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS,
                                        call_at_part(KILL_AT_PART, kill_engine))
        print("killed", len(killed), "engine")
        print_stream(text, reference, done, error)

        # After the last engine is killed too, no target can continue the stream: the caller gets an error at once.
        killed_at = []

        def kill_last():
            running_target(cluster).process.kill()
            killed_at.append(time.monotonic())

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS,
                                        call_at_part(KILL_AT_PART, kill_last))
        seconds = time.monotonic() - killed_at[0]
        print("crash to final answer %.0f ms" % (seconds * 1000), file=sys.stderr)
        print("no replica left: done", done, error["error"]["type"], "come back", error["error"]["retry_after_ms"] > 0)

        # The restarted engine is a new incarnation with an empty cache; it serves again.
        killed[0].process.restart()
        wait_until_served(router, reference)


def wait_until_served(router, reference):
    end = time.monotonic() + 10
    text = ""
    while not is_complete(text, reference) and time.monotonic() < end:
        text, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
    print("served after the return", is_complete(text, reference))
