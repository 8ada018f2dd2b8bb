"""dogwoodlatchd ends in time while several processes send it signals without a pause.

Guards against a daemon that reads signals as long as more arrive: it ran no other handler, and so neither its stop nor
its requests went on.
"""

import contextlib
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL = "127.0.1.2", "127.0.1.11"
SENDERS = 4
SECONDS_UNTIL_END = 9
SEND = "import os, sys\nwhile True: os.kill(int(sys.argv[1]), int(sys.argv[2]))"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.Target(store, MODEL, "m1", "model-service", "m")
    fleet.Target(store, "127.0.1.21", "p1", "plain")
    for name, number in (("SIGTERM", signal.SIGTERM), ("SIGHUP", signal.SIGHUP)):
        agent = fleet.start_agent(bin_dir, MODEL)
        fleet.wait_until(lambda agent=agent: " E100 " in agent.log_text())
        print(name, "agent", end_in_flood(agent.process, number))
        router = fleet.start_router(bin_dir, ROUTER)
        fleet.wait_until(lambda: fleet.is_ready(ROUTER))
        print(name, "router", end_in_flood(router.process, number))


def end_in_flood(process, number):
    """Returns the exit code after one SIGTERM beside the flood; "late" if the process does not end in time."""
    with flood(process.pid, number):
        os.kill(process.pid, signal.SIGTERM)
        end = time.monotonic() + SECONDS_UNTIL_END
        while not has_ended(process.pid) and time.monotonic() < end:
            time.sleep(0.01)
        is_late = not has_ended(process.pid)
    if is_late:
        process.kill()
    code = process.wait()
    return "late" if is_late else code


def has_ended(pid):
    # Only the senders' end frees the id: until then the process is not waited for.
    return os.waitid(os.P_PID, pid, os.WEXITED | os.WNOHANG | os.WNOWAIT) is not None


@contextlib.contextmanager
def flood(pid, number):
    command = [sys.executable, "-c", SEND, str(pid), str(int(number))]
    senders = [subprocess.Popen(command) for _ in range(SENDERS)]  # pylint: disable=consider-using-with
    try:
        time.sleep(0.3)  # the senders start
        yield
    finally:
        for sender in senders:
            sender.kill()
            sender.wait()
