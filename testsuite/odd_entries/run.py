"""Odd entries of another writer among those of the targets: the router and the agent go on to follow the list."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
LATER_TARGET = "127.0.1.13"
DEPTH = 100_000
ODD_VALUES = {
    "deep list": "[" * DEPTH + "]" * DEPTH,
    "deep object": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "large number": "1e400",
    "long number": "9" * 500,
    "negative number": "-1",
    "not UTF-8": '"\udcff\udcfe"',  # the bytes FF FE
    "half a pair": '"\\ud800"',
    "port 0": '"127.0.1.99:0"',
    "port 65536": '"127.0.1.99:65536"',
    "port beyond 32 bits": '"127.0.1.99:4294985580"',
    "negative port": '"127.0.1.99:-1"',
}
FIELDS = ["service", "addr", "zone", "slots", "state", "models", "born"]


def good_fields(address):
    return fleet.target_entry(address, "model-service", [{"name": "m", "version": 1}])


def put_odd_entries(store):
    """Writes an entry for each odd value in the place of an address, and one with it in each field."""
    store.raw_values = ODD_VALUES
    for number, value in enumerate(ODD_VALUES):
        store.put("servers", f"odd-{number}", {**good_fields("127.0.1.99:1"), "addr": value})
        if not value.startswith("deep"):  # a list has a few MB at most
            store.put("servers", f"all-{number}", dict.fromkeys(FIELDS, value))
            store.put("servers", f"whole-{number}", value)
        time.sleep(0.2)
    store.put("servers", "forged\r\nX-Forged: 1", good_fields(f"{TARGETS[0]}:{fleet.TARGET_PORT}"))
    store.put("versions", "odd", {"model": "m", "version": "large number"})
    store.put("versions", "deep", {"model": "deep list", "version": "deep object"})


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    targets = [fleet.Target(store, ip, f"m{number}", "model-service", "m") for number, ip in enumerate(TARGETS)]
    daemons = [fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, TARGETS[0])]
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check(store, targets, daemons, "written while the list is watched")
        # A process that starts reads the whole list.
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()
            daemon.start()
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check(store, targets, daemons, "read at the start", LATER_TARGET)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write("".join(daemon.log_text() for daemon in daemons))
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


# Guards against processes that end, stop following the list, or have no target that can be connected to, because another
# writer left odd entries among those of the targets.
def check(store, targets, daemons, when, later=None):
    put_odd_entries(store)
    time.sleep(1.5)
    print(when, "- processes alive:", sum(daemon.process.poll() is None for daemon in daemons))
    print(when, "- streams served:", fleet.count_served_streams(ROUTER))
    print(when, "- forged headers:", sum("x-forged" in headers for target in targets for headers in target.seen_headers))
    if later:
        target = fleet.Target(store, later, "later", "model-service", "m")
        print(when, "- a later target is used:", fleet.wait_until(lambda: fleet.is_used(ROUTER, target)))
        version = {"model": "m", "version": 2}
        store.put("versions", "m", version)
        print(when, "- the agent still loads new weights:", fleet.wait_until(lambda: targets[0].version == 2))
