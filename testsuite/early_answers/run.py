"""Targets that answer an upload before they have read it, without a length, and end the connection.

Guards against a part of an answer that reaches the caller as a whole one: the reset was reported to the write of the
upload, after which the read found an orderly end.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN_TARGETS = ["127.0.1.21", "127.0.1.22"]
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12"]
ALL_EVENTS = [str(event) for event in range(1, 9)]
# Larger than what the buffers of the sockets take, 4 MB of the sender's and 64 KB of the target's.
UPLOAD = b"u" * (8 << 20)
REPEATS = 10
ENDINGS = ["early reset", "early unread", "early crash"]


def run(bin_dir):
    store = fleet.Store()
    configuration = fleet.configuration(1, ["k1"], timeout_ms=8000, idle_timeout_ms=15000)
    configuration["limits"]["max_body_bytes"] = len(UPLOAD)
    fleet.add_single_attempt_route(configuration, "once", 0.5)
    store.put("config", "main", configuration)
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS, fleet.EarlyTarget)
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS, fleet.EarlyTarget)
    router = fleet.start_router(bin_dir, ROUTER, "bounds.budget_extra=5000")
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        for ending in ENDINGS:
            check_plain(plain, ending)
            check_streams(model, ending)
        check_whole(plain, model)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


def headers():
    return fleet.deadline(8)


_numbers = iter(range(1 << 30))


def new_upload():
    """Returns an upload unlike others, as a request that breaks off at several targets is held back."""
    return UPLOAD[:-8] + b"%08d" % next(_numbers)


def describe(status, body):
    if status == 200:
        return "200 good" if body.startswith("POST /read/x ") else f"200 with {len(body)} bytes"
    return str(status)


def count(answers):
    return ", ".join(f"{answer}: {answers.count(answer)}" for answer in sorted(set(answers)))


def check_plain(play, ending):
    once, again, twice = [], [], []
    for _ in range(REPEATS):
        for path, plan, answers in (("/write/x", 1, once), ("/read/x", 1, again), ("/read/x", 2, twice)):
            play.planned = [(0, ending)] * plan
            status, _, body = fleet.request(ROUTER, path, "POST", new_upload(), headers=headers())
            answers.append(describe(status, body))
    print(f"{ending} - a request that runs once: {count(once)}")
    print(f"{ending} - a request that is sent again: {count(again)}")
    print(f"{ending} - a request that ends so twice: {count(twice)}")


def check_streams(play, ending):
    once, resumed = [], []
    for _ in range(REPEATS):
        play.planned = [(0, ending)]
        body = new_upload()
        status, _, text = fleet.request(ROUTER, "/once/x", "POST", body, headers={**fleet.PROMPT_HEADERS, **headers()})
        once.append("broken off" if status == 0 else f"whole with {len(fleet.event_ids(text))} events"
                    if status == 200 else str(status))
        play.planned = [(0, ending)]
        status, events = fleet.stream(ROUTER, headers(), body=body)
        resumed.append("whole" if (status, events) == (200, ALL_EVENTS) else f"{status} with {len(events)} events")
    print(f"{ending} - a stream that runs once: {count(once)}")
    print(f"{ending} - a stream that is resumed: {count(resumed)}")


# A whole answer is delivered, though its length is not known and the upload has not been read when it ends.
def check_whole(plain, model):
    plain.planned = [(0, "early whole")]
    status, _, body = fleet.request(ROUTER, "/write/x", "POST", UPLOAD, headers=headers())
    print("a whole answer:", describe(status, body))
    model.planned = [(0, "early whole")]
    status, events = fleet.stream(ROUTER, headers(), body=UPLOAD)
    print("a whole stream:", status, events == ALL_EVENTS)
