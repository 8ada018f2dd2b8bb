"""Requests that are still without a response when a stopping router must exit."""

import concurrent.futures
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_TARGETS = ["127.0.1.11"]
PLAIN_TARGETS = ["127.0.1.21"]
LONG_RUN = 9.0  # seconds; longer than the router's grace period
LONG_DEADLINE = fleet.deadline(12)
GRACE = 8.0


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"], timeout_ms=12000, idle_timeout_ms=20000))
    plain = fleet.PlannedRuns(store, "plain", None, PLAIN_TARGETS)
    model = fleet.PlannedRuns(store, "model-service", "m", MODEL_TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        plain.planned = [(LONG_RUN, "good")] * 2
        model.planned = [(LONG_RUN, "good")]
        with concurrent.futures.ThreadPoolExecutor(8) as executor:
            check(executor, router)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


def call(name, method, headers=()):
    """Returns status and the time of the answer; status 0 if the connection ended without a whole one."""
    connection = fleet.KeptConnection(ROUTER, timeout=12)
    attempt = connection.send(method, f"/{name}/x", b"body", "k1", None, {**LONG_DEADLINE, **dict(headers)})
    connection.close()
    return attempt


# Guards against requests that a stopping router has passed on and that end with the process, without an answer
# and without a line in the log.
def check(executor, router):
    stopped_at = time.monotonic()
    router.terminate()
    time.sleep(1.0)
    calls = {"read": executor.submit(call, "read", "GET"), "write": executor.submit(call, "write", "POST"),
             "stream": executor.submit(call, "stream", "POST", fleet.PROMPT_HEADERS)}
    time.sleep(3.0)
    late = call("write", "POST")
    print("late request that can't end in time:", late.status, "come back", "Retry-After" in late.headers)
    for name, future in calls.items():
        attempt = future.result()
        print(f"{name}: status {attempt.status}, answered before the end of the grace period",
              attempt.ended_at - stopped_at < GRACE)
    print("exit code", router.wait(2))
    print("lines that end a request:", router.log_text().count("E400 request_ended"))
