"""A stream breaks off, and the target that is to go on with it answers something that is no stream."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]
END = "0\r\n\r\n"  # of a complete chunked response


def run(bin_dir):
    store = fleet.Store()
    content = fleet.configuration(1, ["k1"])
    store.put("config", "main", content)
    play = fleet.PlannedRuns(store, "model-service", "m", TARGETS)
    router = fleet.start_router(bin_dir, ROUTER, "bounds.budget_extra=1000")
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        for answer in fleet.ODD_STREAM_ANSWERS:
            check(play, answer, "no target left", False)
        content["version"] = 2
        content["routes"][0]["attempts"] = 3
        store.put("config", "main", content)
        print("three attempts in force", fleet.wait_until(
            lambda: fleet.metric(ROUTER, "dogwoodlatch_configuration_version") == 2))
        for answer in fleet.ODD_STREAM_ANSWERS:
            check(play, answer, "a third target", True)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against an error's text or head in the middle of a caller's stream, and against a stream that ends as if it were
# complete.
def check(play, answer, case, is_whole):
    play.planned = [(0, "broken"), (0, answer)]
    # A request that is repeated after its targets have broken off counts as what broke them.
    received = fleet.raw_stream(ROUTER, f"/stream/{fleet.new_request_id()}")
    events = fleet.event_ids(received.replace("\r\n", "\n"))
    expected = [str(event) for event in range(1, 9 if is_whole else 5)]
    faults = [name for name, is_fault in (
        ("events " + ",".join(events), events != expected), ("text of the answer", "ERROR" in received),
        ("second head", received.count("HTTP/1.1") != 1), ("end", received.endswith(END) != is_whole)) if is_fault]
    print(f"{case}, {answer}: {', '.join(faults) or 'good'}")
