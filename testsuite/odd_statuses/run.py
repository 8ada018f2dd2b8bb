"""Targets whose answers have a status that HTTP does not have.

Guards against such an answer that reaches the caller, and against one that is taken for an interim answer, so that the
request waits for another one until its deadline.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN_TARGETS = ["127.0.1.21", "127.0.1.22"]
MODEL_TARGETS = ["127.0.1.11", "127.0.1.12"]
ALL_EVENTS = [str(event) for event in range(1, 9)]
# RFC 9110: a status has three digits and is from 100 to 599. 101 answers an upgrade, which is never asked for.
STATUSES = ["000", "001", "099", "101", "600", "999", "+20", "2", "20", "2000", "-200"]
DEADLINE = 3.0


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER, "bounds.budget_extra=5000")
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        for status in STATUSES:
            check(plain, model, status)
        # Statuses that no page names are statuses all the same.
        for status in ("200", "299", "599"):
            plain.planned = [(0, f"status {status}")]
            answer, fields, body = fleet.request(ROUTER, "/write/x", "POST", b"body")
            print(f"{status}: {answer}, passed on {fleet.is_sealed(fields) and body == 'none'}")
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


_numbers = iter(range(1 << 30))  # a request that breaks off at several targets is held back


def timed(ask):
    """Returns the result, and whether it came well before the deadline."""
    start = time.monotonic()
    result = ask()
    return result, "at once" if time.monotonic() - start < DEADLINE / 2 else "late"


def check(plain, model, status):
    behaviour = f"status {status}"
    plain.planned = [(0, behaviour)]
    (once, fields, body), once_when = timed(lambda: fleet.request(ROUTER, f"/write/{next(_numbers)}", "POST", b"body"))
    plain.planned = [(0, behaviour)]
    path = f"/read/{next(_numbers)}"
    (again, _, good), again_when = timed(lambda: fleet.request(ROUTER, path))
    plain.planned = [(0, behaviour)] * 2
    (twice, _, _), twice_when = timed(lambda: fleet.request(ROUTER, f"/read/{next(_numbers)}"))
    model.planned = [(0, behaviour)]
    (stream, events), stream_when = timed(lambda: fleet.stream(ROUTER, body=behaviour.encode()))
    print(f"{status}: once {once} {once_when}, passed on {fleet.is_sealed(fields) or body == 'none'};",
          f"again {again} {again_when}, good {good == f'GET {path} '}; twice {twice} {twice_when};",
          f"stream {stream} {stream_when}, whole {events == ALL_EVENTS}")
