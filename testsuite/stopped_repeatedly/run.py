"""Stop signals keep coming until the process has ended.

Guards against a process that ends by the signal instead of with exit code 0: signals had their default action again
while the process cleaned up (seen once as "SIGTERM twice: agent -15" in daemon_stopped).
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL = "127.0.1.2", "127.0.1.11"
ROUNDS = 10
SECONDS_UNTIL_END = 9


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.Target(store, MODEL, "m1", "model-service", "m")
    fleet.Target(store, "127.0.1.21", "p1", "plain")
    codes = set()
    for _ in range(ROUNDS):
        agent = fleet.start_agent(bin_dir, MODEL)
        fleet.wait_until(lambda agent=agent: " E100 " in agent.log_text())
        codes.add(signal_until_end(agent.process))
    print("agent", codes)
    router = fleet.start_router(bin_dir, ROUTER)
    fleet.wait_until(lambda: fleet.is_ready(ROUTER))
    print("router", signal_until_end(router.process))


def signal_until_end(process):
    """Returns the exit code; "late" if the process does not end in time."""
    end = time.monotonic() + SECONDS_UNTIL_END
    while process.poll() is None and time.monotonic() < end:
        process.send_signal(signal.SIGTERM)
    if process.returncode is None:
        process.kill()
        process.wait()
        return "late"
    return process.returncode
