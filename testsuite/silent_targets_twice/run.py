"""A stream whose target is silent twice; the second time the other targets refuse it late."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13", "127.0.1.14"]


def run(bin_dir):
    store = fleet.Store()
    configuration = fleet.configuration(1, ["k1"], timeout_ms=8000)
    for route in configuration["routes"]:
        route["attempts"] = 3
    store.put("config", "main", configuration)
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_second_silence(model)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a second overlap that ends too early, as if the request might have run at a target that has refused it.
def check_second_silence(model):
    model.planned = [(1.4, "silent 1.9"), (3, "good")] + [(0.28, "full")] * 4
    status, events = fleet.stream(ROUTER, headers=fleet.LATER_DEADLINE)
    print(f"silent twice: status {status} events {len(events)}")
