"""A caller that disconnects cancels its run at the engine, also before the first part of the response."""

import http.client
import json

from cluster import HOST, Cluster, bearer_headers, chat_body, count_running, start_two_engines, wait_until

# The second token comes later than the case waits, and with a long prompt so does the first.
ENGINE_OPTIONS = ["--token-ms", "60000", "--prefill-rate", "100"]
# The prefill of this prompt takes longer than the case waits, but less than the deadline; otherwise the agent would
# refuse the request.
LONG_PROMPT = "log line " * 1000


def count_all_running(cluster):
    return sum(count_running(target) for target in cluster.targets)


def start_chat(router, prompt, stream):
    connection = http.client.HTTPConnection(HOST, router.port, timeout=10)
    connection.request("POST", "/v1/chat/completions", json.dumps(chat_body(prompt, 4, stream)),
                       bearer_headers("tengri"))
    return connection


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster, options=ENGINE_OPTIONS)[0]
        connection = start_chat(router, "explain the log", True)
        response = connection.getresponse()
        print("first part", response.readline().startswith(b"data: "), "running", count_all_running(cluster))
        response.close()
        connection.close()
        wait_until(lambda: count_all_running(cluster) == 0, "the run to be cancelled")
        print("cancelled in mid-stream")

        for stream in (True, False):
            connection = start_chat(router, LONG_PROMPT, stream)
            wait_until(lambda: count_all_running(cluster) == 1, "the run to begin")
            connection.close()
            wait_until(lambda: count_all_running(cluster) == 0, "the run to be cancelled")
            print("cancelled ahead of the first part, streamed", stream)
