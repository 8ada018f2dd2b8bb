"""Entries of another writer that lack one field, or have one of another type, name a server that is no target.

Guards against ROUTE (review/2): such an entry was used as a target, and its server ran requests that may not be repeated.
"""

import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL = "127.0.1.2", "127.0.1.11"
PLAIN = ["127.0.1.21", "127.0.1.22"]
REQUESTS = 30
SHORT_DEADLINE = fleet.deadline(0.6)
OTHER_PORT = fleet.TARGET_PORT + 1  # of the other writer, at all addresses


class OtherServer(fleet.StandIn):
    """A server that answers all requests and knows nothing of targets."""

    def __init__(self):
        self.requests = 0
        super().__init__(("0.0.0.0", OTHER_PORT))

    def serve(self, handler, method, path, headers, body):
        self.requests += 1
        return handler.answer(200, b"ok")


def put_partial_entries(store):
    """Writes entries at addresses of their own that lack one field, and some with an odd value in one."""
    addresses = (f"127.0.2.{number}:{OTHER_PORT}" for number in itertools.count(1))
    for service in ("plain", "model-service"):
        models = [{"name": "m", "version": 1}] if service == "model-service" else []
        for field in fleet.REQUIRED_TARGET_FIELDS:
            entry = fleet.target_entry(next(addresses), service, models)
            del entry[field]
            store.put("servers", f"lacks-{field}-{service}", entry)
        for field, value in fleet.ODD_TARGET_FIELDS.items():
            entry = fleet.target_entry(next(addresses), service, models)
            store.put("servers", f"odd-{field}-{service}", {**entry, field: value})


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.Target(store, MODEL, "m1", "model-service", "m")
    plain = [fleet.Target(store, ip, f"p{number}", "plain") for number, ip in enumerate(PLAIN)]
    other = OtherServer()
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        put_partial_entries(store)
        time.sleep(0.5)
        check("watched", plain, other)
        router.process.kill()
        router.process.wait()
        router.start()
        print("ready again", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check("read at the start", plain, other)
    finally:
        router.process.kill()
        router.process.wait()


def check(when, plain, other):
    before = sum(len(target.ran) for target in plain)
    statuses = {fleet.request(ROUTER, "/write/x", "POST", b"1", headers=SHORT_DEADLINE)[0] for _ in range(REQUESTS)}
    streams = {fleet.stream(ROUTER, {**fleet.prompt_about(subject + 16), **SHORT_DEADLINE})[0]
               for subject in range(REQUESTS)}
    print(when, "answers", statuses, streams, "runs", sum(len(target.ran) for target in plain) - before,
          "requests at the other server", other.requests)
