"""The object store comes back from a copy that is some seconds old, more than once."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_1, MODEL_2, PLAIN = "127.0.1.11", "127.0.1.12", "127.0.1.21"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1", "k2"]))
    models = [fleet.Target(store, MODEL_1, "m1", "model-service", "m"),
              fleet.Target(store, MODEL_2, "m2", "model-service", "m")]
    plain = fleet.Target(store, PLAIN, "p1", "plain")
    daemons = [fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, MODEL_1),
               fleet.start_agent(bin_dir, MODEL_2)]
    try:
        run_checks(store, models, plain, daemons)
    finally:
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


def answers_during(seconds, key):
    """Returns the statuses of a request every 50 ms."""
    end = time.monotonic() + seconds
    statuses = set()
    while time.monotonic() < end:
        statuses.add(fleet.request(ROUTER, "/read/x", key=key)[0])
        time.sleep(0.05)
    return sorted(statuses)


def is_loaded(models, version):
    return fleet.wait_until(lambda: [model.version for model in models] == [version, version])


def run_checks(store, models, plain, daemons):
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    time.sleep(3.5)  # the store counts as settled from then on
    before = store.copy()
    store.put("versions", "m", {"model": "m", "version": 2})
    print("version 2", is_loaded(models, 2))
    store.put("config", "main", fleet.configuration(2, ["k1"]))
    print("key taken away", fleet.wait_until(lambda: fleet.request(ROUTER, "/read/x", key="k2")[0] == 401))

    # The copy has the key, an older revision and no second version.
    store.restore(before)
    results = {}
    callers = [threading.Thread(target=lambda key=key: results.update({key: answers_during(2.5, key)}))
               for key in ("k1", "k2")]
    for caller in callers:
        caller.start()
    time.sleep(1.2)
    store.put("config", "main", fleet.configuration(2, ["k1"]))
    store.put("versions", "m", {"model": "m", "version": 2})
    for target in [*models, plain]:
        target.register()
    for caller in callers:
        caller.join()
    print("other key meanwhile", results["k1"], "key taken away served", 200 in results["k2"])

    store.put("versions", "m", {"model": "m", "version": 3})
    print("version 3", is_loaded(models, 3), "fences refused", [model.refused_fences for model in models])

    # A target that drained stays drained when an older entry returns.
    before = store.copy()
    plain.drain()
    print("drained", fleet.wait_until(lambda: fleet.request(ROUTER, "/read/x")[0] == 503))
    store.restore(before)
    print("stays drained", answers_during(2.0, "k1"))
    log = daemons[0].log_text()
    print("logged", log.count(" E202 "), "restores")
