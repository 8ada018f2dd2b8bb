"""Entries of another writer, each of legal size, that take more memory than a process has once they are decoded."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

from common2 import (BROKEN, FRONT_MEMORY_MB, HELD, SIDE_MEMORY_MB, TROUBLE, Machine, PagedStore,  # noqa: E402
                     encode, fleet, run_case)

SECONDS = 40
ODD_ENTRIES = 4
ODD_MODELS = 349_000  # without name and version; about 1,047,000 bytes, where value_bytes is 1,048,576


def case(site):
    record = site.record
    store = PagedStore()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    store.put("versions", "m", {"model": "m", "version": 1})
    models = [fleet.Target(store, site.ip(number), f"model-{number}", "model-service", "m") for number in (11, 12)]
    plain = fleet.Target(store, site.ip(21), "plain-21", "plain")
    if TROUBLE:
        odd_models = [{}] * ODD_MODELS
        for number in range(ODD_ENTRIES):
            fields = fleet.target_entry(site.ip(90 + number) + ":1", "lab", odd_models)
            entry = store.put("servers", f"lab-{number:02}", fields)
        record("entries of another writer:", ODD_ENTRIES, "of", len(encode(entry)), "bytes")
    machines = [Machine(record, site.router(number), FRONT_MEMORY_MB) for number in (2, 3)]
    machines += [Machine(record, site.agent(number), SIDE_MEMORY_MB) for number in (11, 12)]
    routers = [machine.daemon for machine in machines[:2]]
    started = time.monotonic()
    answers, next_request, was_ready = {}, 1.0, 0
    while (passed := time.monotonic() - started) < SECONDS:
        for machine in machines:
            machine.look()
        if passed >= next_request:
            next_request += 1.0
            ready = [router for router in routers if fleet.is_ready(router.ip)]
            was_ready += len(ready)
            for router in ready or routers:  # with none in rotation, the platform uses all
                for answer in (fleet.request(router.ip, "/write/x", "POST", b"body")[0], fleet.stream(router.ip)[0]):
                    answers[answer] = answers.get(answer, 0) + 1
        time.sleep(0.02)
    record("answers by status (0: no connection or no answer):", answers)
    record("looks at which a router was ready:", was_ready, "- runs:", len(plain.ran) + sum(len(m.ran) for m in models))
    for machine in machines:
        record(f"{machine.daemon.role} {machine.daemon.ip}: most {machine.most:.0f} MB, ended {machine.kills} times")
    record("list calls:", len(store.list_calls), "- the last ones:", store.list_calls[-3:])
    # "on a tenth of the machines in use (two at least) processes end by themselves three times", "no request is served"
    often = sum(machine.kills >= 3 for machine in machines)
    record("machines whose process ended three times:", often, "- requests served:", answers.get(200, 0))
    return BROKEN if often >= 2 or not answers.get(200) else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
