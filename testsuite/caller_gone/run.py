"""A caller that goes away in mid-stream, long before the next token, cancels its run at the engine."""

import http.client
import json

from cluster import HOST, Cluster, bearer, chat_body, running_requests, two_engine_cluster, wait_until

# No token follows the first within the time that the case waits.
ENGINE_OPTIONS = ["--token-ms", "60000"]


def total_running(cluster):
    return sum(running_requests(target) for target in cluster.targets)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = two_engine_cluster(cluster, options=ENGINE_OPTIONS)[0]
        connection = http.client.HTTPConnection(HOST, router.port, timeout=10)
        connection.request("POST", "/v1/chat/completions", json.dumps(chat_body("explain the log", 4, True)),
                           bearer("tengri"))
        answer = connection.getresponse()
        print("first part", answer.readline().startswith(b"data: "), "running", total_running(cluster))
        answer.close()
        connection.close()
        wait_until(lambda: total_running(cluster) == 0, "the run to be cancelled")
        print("cancelled")
