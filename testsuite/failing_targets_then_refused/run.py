"""Requests whose first target answers with a failure and whose next targets refuse them or break off."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN_TARGETS = ["127.0.1.15", "127.0.1.16"]
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12"]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_failures(plain)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a target's answer, a failure, that is discarded for a retry which no other target takes, so that the
# caller gets a 502 of the router instead.
def check_failures(plain):
    for second in ("full", "lost"):
        plain.planned = [(0, "failing"), (0, second), (0, second)]
        status, headers, _ = fleet.request(ROUTER, "/read/x")
        print(f"read, a target fails, the other one is {second}: status {status} sealed {fleet.is_sealed(headers)}")
