"""Targets whose VMs run no agent get new weights from one of the routers, also after that router is lost."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTERS = ["127.0.1.2", "127.0.1.3"]
MODELS = ["127.0.1.11", "127.0.1.12"]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    models = [fleet.Target(store, ip, f"m{number}", "model-service", "m") for number, ip in enumerate(MODELS)]
    daemons = [fleet.start_router(bin_dir, ip) for ip in ROUTERS]
    try:
        run_checks(bin_dir, store, models, daemons)
    finally:
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


def name_weights(store, models, version, seconds):
    store.put("versions", "m", {"model": "m", "version": version})
    is_loaded = fleet.wait_until(lambda: all(model.version == version for model in models), seconds)
    print(f"version {version}", is_loaded, "served", fleet.wait_until(
        lambda: any(fleet.stream(ip)[0] == 200 for ip in ROUTERS)))


def coordinator(daemons):
    """Returns the daemons that were the last to log that they are the coordinator."""
    lines = [(line, daemon) for daemon in daemons for line in daemon.log_text().splitlines() if " E333 " in line]
    last = {daemon: line for line, daemon in lines}
    return [daemon for daemon, line in last.items() if "coordinator=yes" in line]


def run_checks(bin_dir, store, models, daemons):
    print("ready", all(fleet.wait_until(lambda ip=ip: fleet.is_ready(ip)) for ip in ROUTERS))
    print("one coordinator", fleet.wait_until(lambda: len(coordinator(daemons)) == 1, 15))
    name_weights(store, models, 2, 10)
    lost = coordinator(daemons)[0]
    lost.process.kill()
    lost.process.wait()
    name_weights(store, models, 3, 20)
    print("another coordinator", lost not in coordinator([daemon for daemon in daemons if daemon is not lost]))

    # An agent that comes up takes over its own target; the router keeps the other one.
    daemons.append(fleet.start_agent(bin_dir, MODELS[0]))
    time.sleep(1.5)
    name_weights(store, models, 4, 12)
    print("fences refused", [model.refused_fences for model in models])
