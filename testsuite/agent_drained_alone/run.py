"""SIGTERM to an agent during a stream that no other target can take."""

import signal

from cluster import WAIT_SECONDS, Cluster, call_at_part, print_stream, running_target, start_two_engines, stream_chat

TOKENS = 100
STOP_AT_PART = 10
SETTINGS = {"handover_after_ms": 700, "drain_timeout_ms": 20000}


# Guards against a run that a draining agent cancels before another target has taken it, so that the stream is lost
# although its own target would have ended it within the drain timeout.
def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster, options=["--token-ms", "20"], agent_settings=SETTINGS)[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        drained = []

        def drain_only_agent():
            target = running_target(cluster)
            next(other for other in cluster.targets if other is not target).agent.kill()
            drained.append(target.agent)
            target.agent.send_signal(signal.SIGTERM)

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS,
                                        call_at_part(STOP_AT_PART, drain_only_agent))
        print_stream(text, reference, done, error)
        print("exit code", drained[0].child.wait(WAIT_SECONDS))
