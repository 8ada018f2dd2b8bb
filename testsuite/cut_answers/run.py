"""Targets that stop in the head of an answer, or in its body, and close their connection."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN_TARGETS = ["127.0.1.21", "127.0.1.22"]
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12"]
ALL_EVENTS = [str(event) for event in range(1, 9)]
MOST_MISSING = 190  # bytes; an answer of the stand-in with its head is a little longer
STEP = 9


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER, "bounds.budget_extra=5000")
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        cuts = [f"cut {kind} {missing}" for kind in ("framed", "interim") for missing in range(1, MOST_MISSING, STEP)]
        check_plain(plain, cuts)
        check_streams(model, cuts)
        check_unframed(plain, model)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against answers that stop in their head, or short of their length, and reach callers as whole ones.
def check_plain(play, cuts):
    once, repeated = set(), set()
    for number, cut in enumerate(cuts):
        play.planned = [(0, cut)]
        once.add(fleet.request(ROUTER, "/write/x", "POST", b"body")[0])
        play.planned = [(0, cut)]
        status, _, body = fleet.request(ROUTER, f"/read/{number}")
        repeated.add((status, body == f"GET /read/{number} "))
    print("a request that runs once:", sorted(once))
    print("a request that is sent again:", sorted(repeated))


def check_streams(play, cuts):
    first, resumed = set(), set()
    for number, cut in enumerate(cuts):
        play.planned = [(0, cut)]
        first.add(fleet.stream(ROUTER, body=b"first %d" % number) == (200, ALL_EVENTS))
        play.planned = [(0, "broken"), (0, cut)]
        status, events = fleet.stream(ROUTER, body=b"resumed %d" % number)
        resumed.add("whole" if (status, events) == (200, ALL_EVENTS) else "broken off" if status == 0 else "short")
    print("a stream whose first target is cut is whole:", sorted(first))
    print("a stream whose second target is cut:", sorted(resumed))


def check_unframed(plain, model):
    plain.planned = [(0, "cut unframed")]
    status, _, body = fleet.request(ROUTER, "/write/x", "POST", b"body")
    print("an answer that ends with its connection:", status, body.encode())
    model.planned = [(0, "cut unframed")] * 2
    print("a stream that ends inside an event:", fleet.stream(ROUTER, body=b"unframed"))
