"""Most of the targets crash in the same instant, in the middle of streams that may be resumed."""

import concurrent.futures
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = [f"127.0.1.{number}" for number in range(11, 19)]
CRASHING = 6
STREAMS = 20  # fewer than the retries that the router may send at once
ALL_EVENTS = [str(event) for event in range(1, 9)]


SLOW = "silent 0.6"  # in mid-stream, so that all streams are under way at the same time


def run(bin_dir):
    store = fleet.Store()
    crashing = fleet.TargetProcess(TARGETS[:CRASHING], "model-service", "m", SLOW)
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    for number, ip in enumerate(TARGETS[CRASHING:]):
        fleet.Target(store, ip, f"m{number}", "model-service", "m", choose=lambda: SLOW)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("targets listed", fleet.wait_until(
            lambda: fleet.metric(ROUTER, "dogwoodlatch_targets") == len(TARGETS)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_streams(crashing)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()
        crashing.crash()


def send_streams(executor, count):
    # Bodies differ, or the streams would count as one request that crashes its targets; subjects differ, so that the
    # streams do not all prefer the same target.
    return [executor.submit(fleet.stream, ROUTER, headers=fleet.prompt_about(1000 + number),
                            body=b"prompt %d" % number) for number in range(count)]


def count_whole(streams):
    answers = [stream.result() for stream in streams]
    return sum(status == 200 and events == ALL_EVENTS for status, events in answers)


# Guards against streams that are cut because they were sent on to a target that had crashed in the same instant.
def check_streams(crashing):
    with concurrent.futures.ThreadPoolExecutor(2 * STREAMS) as callers:
        # These leave idle connections to all targets.
        print(f"whole before the crash: {count_whole(send_streams(callers, 2 * STREAMS))} of {2 * STREAMS}")
        streams = send_streams(callers, STREAMS)
        time.sleep(0.35)
        crashing.crash()
        print(f"whole beside the crash: {count_whole(streams)} of {STREAMS}")
