"""Entries of another writer that take many times their text once they are decoded, or are many.

Guards against the review's case 9: four entries of 1 MB made every router exceed its memory at each start.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
LATER_TARGET = "127.0.1.13"
# What the settings file gives each daemon; also the bound of the case.
MEMORY_MB = 64
LIMIT = f"limits.memory_mb={MEMORY_MB}"
OBJECT_BYTES = 1_040_000  # a little less than an object may have
MODEL = {"name": "x", "version": 1}


def large_contents():
    """Returns contents of objects by what is large about them."""
    def entry(**fields):
        return {**fleet.target_entry("127.0.1.99:1", "lab", []), **fields}

    return {
        "objects": entry(models=[{}] * (OBJECT_BYTES // 4)),
        "lists": entry(models=[[]] * (OBJECT_BYTES // 4)),
        "models": entry(models=[MODEL] * (OBJECT_BYTES // 31)),
        "text": entry(zone="z" * OBJECT_BYTES),
        "unread": entry(notes=[{}] * (OBJECT_BYTES // 4)),
    }


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    store.put("versions", "m", {"model": "m", "version": 1})
    targets = [fleet.Target(store, ip, f"t-{number}", "model-service", "m") for number, ip in enumerate(TARGETS)]
    contents = large_contents()
    for name, content in contents.items():
        for number in range(3):
            store.put("servers", f"a-{name}-{number}", content)
            store.put("versions", f"a-{name}-{number}", {"model": "m", "version": content})
        store.put("config", f"a-{name}", content)
    # Each of these could be a target's, but all of them are too many.
    for number in range(600):
        store.put("servers", f"b-{number}", fleet.target_entry("127.0.1.99:1", "lab", [MODEL] * 150))
    daemons = [fleet.start_router(bin_dir, ROUTER, LIMIT), fleet.start_agent(bin_dir, TARGETS[0], LIMIT)]
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER), 20))
        time.sleep(1.0)
        check(daemons, targets, "listed at the start")
        for name, content in contents.items():
            store.put("servers", f"c-{name}", content)
            time.sleep(0.3)
        for number in range(600):
            store.put("servers", f"d-{number}", fleet.target_entry("127.0.1.99:1", "lab", [MODEL] * 150))
        later = fleet.Target(store, LATER_TARGET, "t-9", "model-service", "m")
        print("a later target is used:", fleet.wait_until(lambda: fleet.is_used(ROUTER, later)))
        store.put("versions", "m", {"model": "m", "version": 2})
        print("the agent loads new weights:", fleet.wait_until(lambda: targets[0].version == 2))
        check(daemons, targets, "written while the list is watched")
        print("refused and counted:", [fleet.metric(ROUTER, f"dogwoodlatch_objects_refused_{cause}") > 0
                                       for cause in ("form", "size")])
        print("refused and logged:", ["E216 objects_refused" in daemon.log_text() for daemon in daemons])
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write("".join(daemon.log_text() for daemon in daemons))
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


def check(daemons, targets, when):
    print(when, "- streams served:", fleet.count_served_streams(ROUTER))
    print(when, "- targets used:", sum(bool(target.ran) for target in targets))
    peaks = [daemon.peak_memory_mb() for daemon in daemons]
    print(when, "- within their memory:", [peak < MEMORY_MB for peak in peaks])
    print(when, "peaks", peaks, file=sys.stderr)
