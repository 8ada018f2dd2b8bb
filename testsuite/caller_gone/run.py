"""A caller that goes away cancels its run at the engine, also before the first part of its answer."""

import http.client
import json

from cluster import HOST, Cluster, bearer, chat_body, running_requests, two_engine_cluster, wait_until

# No token follows the first within the time that the case waits, and a long prompt gets not even the first.
ENGINE_OPTIONS = ["--token-ms", "60000", "--prefill-rate", "100"]
# Its prefill takes longer than the case waits, and less than the deadline, which the agent would refuse.
LONG_PROMPT = "log line " * 1000


def total_running(cluster):
    return sum(running_requests(target) for target in cluster.targets)


def send(router, prompt, stream):
    connection = http.client.HTTPConnection(HOST, router.port, timeout=10)
    connection.request("POST", "/v1/chat/completions", json.dumps(chat_body(prompt, 4, stream)), bearer("tengri"))
    return connection


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = two_engine_cluster(cluster, options=ENGINE_OPTIONS)[0]
        connection = send(router, "explain the log", True)
        answer = connection.getresponse()
        print("first part", answer.readline().startswith(b"data: "), "running", total_running(cluster))
        answer.close()
        connection.close()
        wait_until(lambda: total_running(cluster) == 0, "the run to be cancelled")
        print("cancelled in mid-stream")

        for stream in (True, False):
            connection = send(router, LONG_PROMPT, stream)
            wait_until(lambda: total_running(cluster) == 1, "the run to begin")
            connection.close()
            wait_until(lambda: total_running(cluster) == 0, "the run to be cancelled")
            print("cancelled ahead of the first part, streamed", stream)
