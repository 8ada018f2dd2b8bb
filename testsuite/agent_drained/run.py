"""SIGTERM to an agent during a stream: a short stream finishes there, a long one is handed over, both are complete."""

import signal

from cluster import WAIT_SECONDS, Cluster, call_at_part, print_stream, running_target, stream_chat, start_two_engines

LONG_TOKENS = 100
SHORT_TOKENS = 30
STOP_AT_PART = 10
SETTINGS = {"handover_after_ms": 700, "drain_timeout_ms": 20000}


def stop_agent_midstream(cluster, router, tokens):
    reference, _, _ = stream_chat(router.port, "tengri", "explain the log", tokens)
    stopped = []
    handed_over_before = count_handed_over(cluster)

    def stop_agent():
        target = running_target(cluster)
        target.agent.send_signal(signal.SIGTERM)
        stopped.append(target)

    text, done, error = stream_chat(router.port, "tengri", "explain the log", tokens,
                                    call_at_part(STOP_AT_PART, stop_agent))
    print_stream(text, reference, done, error)
    agent = stopped[0].agent
    print("exit code", agent.child.wait(WAIT_SECONDS))
    print("handed over", count_handed_over(cluster) - handed_over_before)
    return stopped[0]


def count_handed_over(cluster):
    return sum(target.agent.log().count("run_handed_over") for target in cluster.targets)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster, options=["--token-ms", "20"], agent_settings=SETTINGS)[0]
        target = stop_agent_midstream(cluster, router, LONG_TOKENS)
        print("new work goes elsewhere", stream_chat(router.port, "tengri", "another log", SHORT_TOKENS)[1])
        target.agent.restart()
        cluster.wait_ready()
        stop_agent_midstream(cluster, router, SHORT_TOKENS)
