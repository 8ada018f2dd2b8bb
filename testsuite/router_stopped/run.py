"""SIGTERM to the router during a stream: the stream completes, new requests are refused, and the exit code is 0."""

import json
import signal

from cluster import Cluster, bearer_headers, chat_body, is_complete, request, stream_chat, start_two_engines

TOKENS = 60
STOP_AT_PART = 10


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)

        def stop_router(part):
            if part != STOP_AT_PART:
                return
            router.process.send_signal(signal.SIGTERM)
            while request(router.ops_port, "GET", "/readyz")[0] == 200:
                pass
            status, headers, text = request(router.port, "POST", "/v1/chat/completions", chat_body("another log"),
                                            bearer_headers("tengri"))
            print("new work", status, json.loads(text)["error"]["type"], "come back", "Retry-After" in headers)

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS, stop_router)
        print("whole and in order", is_complete(text, reference), "words", len(text.split()), "done", done,
              "error", error)
        print("exit code", router.process.child.wait(10))
