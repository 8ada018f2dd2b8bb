"""Requests that leave a silent target: the second one refuses them, the third one breaks off, the first one goes on."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13", "127.0.1.14"]
PLAIN_TARGETS = ["127.0.1.15", "127.0.1.16", "127.0.1.17"]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_refusal(model, plain)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against requests that are lost with the third target because a refusal has used up the send with which they
# would return to their silent target.
def check_refusal(model, plain):
    model.planned = [(0, "silent 1.7"), (0, "full"), (0, "broken")]
    status, events = fleet.stream(ROUTER)
    print(f"stream, refused, then broken off: status {status} events {len(events)}")
    plain.planned = [(2.2, "good"), (0.5, "full"), (0, "lost")]
    status, _, _ = fleet.request(ROUTER, "/read/x")
    print(f"read, refused, then broken off: status {status}")
