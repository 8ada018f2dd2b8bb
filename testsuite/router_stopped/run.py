"""SIGTERM to the router in mid-stream: the stream is complete and the exit code is 0."""

import json
import signal

from cluster import Cluster, bearer, chat_body, is_whole, request, stream_chat, two_engine_cluster

TOKENS = 60
STOP_AT = 10


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = two_engine_cluster(cluster)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)

        def stop_router(part):
            if part != STOP_AT:
                return
            router.process.send(signal.SIGTERM)
            while request(router.ops_port, "GET", "/readyz")[0] == 200:
                pass
            status, headers, text = request(router.port, "POST", "/v1/chat/completions", chat_body("another log"),
                                            bearer("tengri"))
            print("new work", status, json.loads(text)["error"]["type"], "come back", "Retry-After" in headers)

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS, stop_router)
        print("whole and in order", is_whole(text, reference), "words", len(text.split()), "done", done, "error", error)
        print("exit code", router.process.child.wait(10))
