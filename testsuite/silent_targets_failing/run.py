"""Requests whose target is silent and goes on, while the other target fails."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]


class Play:
    """Delays the first run of a request by `silence`; later ones behave as `later`."""

    def __init__(self, store, service, model, ips):
        self.pending = []
        self.targets = [fleet.Target(store, ip, f"{service}{number}", service, model, choose=self.choose)
                        for number, ip in enumerate(ips)]

    def choose(self):
        if not self.pending:
            return "good"
        silence, behaviour = self.pending.pop(0)
        time.sleep(silence)
        return behaviour

    def arrivals(self):
        return sum(len(target.arrivals) for target in self.targets)


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    model = Play(store, "model-service", "m", TARGETS)
    plain = Play(store, "plain", None, ["127.0.1.13", "127.0.1.14"])
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_failing_second(model, plain)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a failure of the second target that was returned although the silent first one went on.
def check_failing_second(model, plain):
    # The first target goes on 150 ms after the limits of silence, which are 1.25 s for a stream and 1 s for a read.
    model.pending = [(1.4, "good"), (0, "failing")]
    before = model.arrivals()
    status, events = fleet.stream(ROUTER)
    print(f"stream, second target fails: status {status} events {len(events)} arrivals {model.arrivals() - before}")
    time.sleep(1.1)
    plain.pending = [(1.15, "good"), (0, "failing")]
    before = plain.arrivals()
    status, _, _ = fleet.request(ROUTER, "/read/x")
    print(f"read, second target fails: status {status} arrivals {plain.arrivals() - before}")
