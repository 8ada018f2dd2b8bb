"""Another writer renews a large entry several times a second while a target drains.

Guards against the review's case 10: the answers with the changes were too long to be read, so that routers sent requests
to a draining target until it exited.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.21", "127.0.1.22"]
ENTRY_BYTES = 1_040_000  # a little less than an object may have
RENEWAL_PERIOD, CALL_PERIOD, RUN_SECONDS = 0.15, 0.05, 0.1
CALLERS = 6
DRAIN_SECONDS = 2.0
MEMORY_MB = 64


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    leaving, staying = [start_target(store, ip) for ip in TARGETS]
    router = fleet.start_router(bin_dir, ROUTER, f"limits.memory_mb={MEMORY_MB}")
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    is_over, answers = threading.Event(), []
    threads = [threading.Thread(target=renew, args=(store, is_over))]
    threads += [threading.Thread(target=call, args=(number, is_over, answers)) for number in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    print("used while ready:", bool(leaving.ran))
    leaving.drain()
    drained = time.monotonic()
    time.sleep(2 * DRAIN_SECONDS)
    late = {identity for at, identity in leaving.arrivals if at > drained + DRAIN_SECONDS}
    print("requests at the draining target later than it drains:",
          len([sent for sent, identity, _ in answers if identity in late and sent > drained + DRAIN_SECONDS]))
    print("all served:", all(status == 200 for _, _, status in answers), bool(staying.ran))
    added = start_target(store, "127.0.1.23")
    print("a new target is used:", fleet.wait_until(lambda: added.ran))
    is_over.set()
    for thread in threads:
        thread.join()
    print("counted and logged:", fleet.metric(ROUTER, "dogwoodlatch_changes_unread_total") > 0,
          " E217 " in router.log_text())
    print("the store counts as reachable:", " E200 " not in router.log_text())
    print("within its memory:", router.peak_memory_mb() < MEMORY_MB)
    router.process.kill()
    router.process.wait()


def start_target(store, ip):
    """Starts a target that takes some time, so that requests at the same time go to several."""
    def work():
        time.sleep(RUN_SECONDS)
        return "good"

    return fleet.Target(store, ip, f"p-{ip}", "plain", choose=work)


def renew(store, is_over):
    count = 0
    while not is_over.wait(RENEWAL_PERIOD):
        count += 1
        store.put("servers", "a-list", {"service": "lab", "count": count, "notes": "n" * ENTRY_BYTES})


def call(number, is_over, answers):
    caller = fleet.KeptConnection(ROUTER)
    count = 0
    while not is_over.wait(CALL_PERIOD):
        count += 1
        identity = f"c-{number}-{count}"
        attempt = caller.send("POST", "/write/x", b"body", "k1", identity)
        answers.append((attempt.sent_at, identity, attempt.status))
    caller.close()
