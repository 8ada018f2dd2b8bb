"""SIGSTOP of an agent during a stream: another target continues it; what the agent sends after SIGCONT is dropped."""

import signal

from cluster import Cluster, is_complete, count_running, running_target, stream_chat, start_two_engines, wait_until

TOKENS = 60
PAUSE_AT_PART = 10
RESUME_AT_PART = 30


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        router = start_two_engines(cluster, router_settings={"retry": {"part_timeout_ms": 400}})[0]
        reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)
        paused = []

        def pause_and_resume(part):
            if part == PAUSE_AT_PART:
                paused.append(running_target(cluster))
                paused[0].agent.send_signal(signal.SIGSTOP)
            if part == RESUME_AT_PART:
                paused[0].agent.send_signal(signal.SIGCONT)

        text, done, error = stream_chat(router.port, "tengri", "explain the log", TOKENS, pause_and_resume)
        print("whole and in order", is_complete(text, reference), "words", len(text.split()), "done", done,
              "error", error)
        wait_until(lambda: count_running(paused[0]) == 0, "the late run to be cancelled")
        print("served after the pause", stream_chat(router.port, "tengri", "explain the log", TOKENS)[0] == reference)
