"""Entries of another writer whose names are not plain end the pages of the list of targets.

Guards against the review's case 7: the name after which the next page starts was sent unencoded, so the store read
another one and returned the same page again, and every process listed it until its memory was used up.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
LATER_TARGET = "127.0.1.13"
# Targets are named t-..., so these names are listed before and after theirs.
ODD_NAMES = ["a b", "a%20b", "a%2", "a&watch=1", "a+b", "a#b", "a=b", "a\r\nX: y", "a/b", "a?b", "é", "z%20", "z%C3%A9"]
ODD_BYTES = 40_000
PAGE_BYTES = 30_000  # so that each odd entry ends a page
UNREADABLE = "unreadable"  # stands for a name that is not UTF-8
MEMORY_MB = 64
MAX_LISTS = 400  # a list has some 20 pages, and is fetched a few times


class RawNameStore(fleet.Store):
    PAGE_BYTES = PAGE_BYTES

    def __init__(self):
        super().__init__()
        self.raw_values = {UNREADABLE: '"zz\udcff"'}


def run(bin_dir):
    store = RawNameStore()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    store.put("versions", "m", {"model": "m", "version": 1})
    targets = [fleet.Target(store, ip, f"t-{number}", "model-service", "m") for number, ip in enumerate(TARGETS)]
    for name in ODD_NAMES:
        store.put("servers", name, {"service": "lab", "notes": "n" * ODD_BYTES})
    daemons = [fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, TARGETS[0])]
    try:
        check(store, targets, daemons, "listed at the start")
        # The list cannot be continued after a page that holds only this entry. What comes before it holds.
        store.put("servers", UNREADABLE, {"service": "lab", "notes": "n" * ODD_BYTES})
        store.put("servers", "zzz", {"service": "lab"})
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()
            daemon.start()
        check(store, targets, daemons, "listed up to a name that cannot be read")
        later = fleet.Target(store, LATER_TARGET, "t-9", "model-service", "m")
        print("a later target is used:", fleet.wait_until(lambda: fleet.is_used(ROUTER, later)))
        store.put("versions", "m", {"model": "m", "version": 2})
        print("the agent loads new weights:", fleet.wait_until(lambda: targets[0].version == 2))
        print("incomplete lists are logged:", ["E215 list_incomplete" in daemon.log_text() for daemon in daemons])
        print("and counted:", fleet.metric(ROUTER, "dogwoodlatch_lists_incomplete") > 0)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write("".join(daemon.log_text() for daemon in daemons))
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


def check(store, targets, daemons, when):
    calls = len(store.list_calls)
    print(when, "- ready:", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    time.sleep(1.5)
    print(when, "- streams served:", fleet.count_served_streams(ROUTER))
    print(when, "- targets used:", sum(bool(target.ran) for target in targets))
    print(when, "- list calls bounded:", len(store.list_calls) - calls < MAX_LISTS)
    print(when, "- memory bounded:", all(daemon.peak_memory_mb() < MEMORY_MB for daemon in daemons))
