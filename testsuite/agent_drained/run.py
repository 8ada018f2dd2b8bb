"""SIGTERM to the agent in mid-stream: a short stream finishes there, a long one is handed over, neither is cut."""

import signal

from cluster import WAIT_SECONDS, Cluster, at_part, print_whole, serving_target, stream_chat, two_engine_cluster

LONG = 100
SHORT = 30
STOP_AT = 10
SETTINGS = {"handover_after_ms": 700, "drain_timeout_ms": 20000}


def stop_in_midstream(cluster, router, tokens):
    reference, _, _ = stream_chat(router.port, "tengri", "explain the log", tokens)
    stopped = []
    handed_over_before = count_handed_over(cluster)

    def stop_agent():
        target = serving_target(cluster)
        target.agent.send(signal.SIGTERM)
        stopped.append(target)

    text, done, error = stream_chat(router.port, "tengri", "explain the log", tokens, at_part(STOP_AT, stop_agent))
    print_whole(text, reference, done, error)
    agent = stopped[0].agent
    print("exit code", agent.child.wait(WAIT_SECONDS))
    print("handed over", count_handed_over(cluster) - handed_over_before)
    return stopped[0]


def count_handed_over(cluster):
    return sum(target.agent.log().count("run_handed_over") for target in cluster.targets)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = two_engine_cluster(cluster, options=["--token-ms", "20"], agent_settings=SETTINGS)[0]
        target = stop_in_midstream(cluster, router, LONG)
        print("new work goes elsewhere", stream_chat(router.port, "tengri", "another log", SHORT)[1])
        target.agent.restart()
        cluster.wait_ready()
        stop_in_midstream(cluster, router, SHORT)
