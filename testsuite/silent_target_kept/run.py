"""Streams whose target pauses: it keeps them while another target is asked that can't take them."""

import signal
import threading
import time

from cluster import Cluster, call_at_part, print_stream, running_target, start_two_engines, stream_chat

TOKENS = 60
PAUSE_AT_PART = 10
PAUSE_SECONDS = 1.0
PART_TIMEOUT_MS = 300


def pause(process, seconds):
    """Stops a process for some seconds, without waiting for it."""
    process.send_signal(signal.SIGSTOP)

    def resume():
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    threading.Thread(target=resume).start()


def run(bin_dir):
    for name, connect_timeout_ms in (("the probe of the other target fails first", 200),
                                     ("the first target goes on during the probe", 3000)):
        with Cluster(bin_dir) as cluster:
            router = start_two_engines(cluster, router_settings={
                "retry": {"part_timeout_ms": PART_TIMEOUT_MS},
                "routing": {"connect_timeout_ms": connect_timeout_ms}})[0]
            reference, _, _ = stream_chat(router.port, "tengri", "explain the log", TOKENS)

            def stop_other_and_pause():
                running = running_target(cluster)
                other = next(target for target in cluster.targets if target is not running)
                other.agent.send_signal(signal.SIGSTOP)
                pause(running.process, PAUSE_SECONDS)

            print(name)
            print_stream(*with_reference(stream_chat(router.port, "tengri", "explain the log", TOKENS,
                                                     call_at_part(PAUSE_AT_PART, stop_other_and_pause)), reference))


def with_reference(stream, reference):
    text, done, error = stream
    return text, reference, done, error
