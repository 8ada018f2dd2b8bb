"""A read that leaves a silent target for one that answers with a failure later."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN_TARGETS = ["127.0.1.15", "127.0.1.16"]
MODEL_TARGETS = ["127.0.1.11"]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_failure(plain)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a target's answer that is dropped in order to return to the target that the request left, which is
# still silent, so that the caller gets a timeout instead.
def check_failure(plain):
    plain.planned = [(4, "good"), (0.5, "failing"), (4, "good")]
    started = time.monotonic()
    status, _, _ = fleet.request(ROUTER, "/read/x")
    print(f"second target fails after 0.5 s: status {status} in time {time.monotonic() - started < 2}")
