"""Requests whose targets all answer with a failure of their own."""

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
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_failures(model, plain)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a target's failure that is dropped when no other target may get the request, so that the caller gets a
# 502 of the router instead.
def check_failures(model, plain):
    plain.planned = [(0, "failing"), (0, "failing")]
    status, headers, body = fleet.request(ROUTER, "/read/x")
    print(f"read, two targets fail: status {status} sealed {fleet.is_sealed(headers)} body {body}")
    model.planned = [(0, "failing"), (0, "failing")]
    status, headers, body = fleet.request(ROUTER, "/stream/x", "POST", b"prompt", headers=fleet.PROMPT_HEADERS)
    print(f"stream, two targets fail: status {status} sealed {fleet.is_sealed(headers)} body {body}")
