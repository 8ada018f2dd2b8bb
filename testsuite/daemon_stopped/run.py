"""dogwoodlatchd ends when it is stopped: idle, under load, with a silent store and with output that nobody reads."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL, PLAIN = "127.0.1.2", "127.0.1.11", "127.0.1.21"

# A router stays in rotation until the balancer has noticed, and ends a second before its grace period of 8 s.
ROUTER_PLAN_SECONDS = 7.5
AGENT_PLAN_SECONDS = 1.0
START_DELAYS_SECONDS = (0, 0.005, 0.01, 0.02, 0.04, 0.08)


def count_threads(daemon):
    return len(os.listdir(f"/proc/{daemon.process.pid}/task"))


def end(daemon, plan, signals=(signal.SIGTERM,)):
    """Sends the signals and returns the exit code, or "late" if the process had to be killed after its plan."""
    for number in signals:
        daemon.process.send_signal(number)
    try:
        return daemon.wait(plan)
    except subprocess.TimeoutExpired:
        daemon.process.kill()
        daemon.process.wait()
        return "late"


def start_both(bin_dir):
    """Starts a router and an agent and waits for both; a signal before the start ends a process as by default."""
    router, agent = fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, MODEL)
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER) and " E100 " in agent.log_text()))
    return router, agent


class SilentStore:
    """Accepts connections and never answers."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((fleet.STORE_IP, fleet.STORE_PORT))
        self.listener.listen(64)

    def stop(self):
        self.listener.close()


def run(bin_dir):
    check_silent_store(bin_dir)
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    model = fleet.Target(store, MODEL, "m1", "model-service", "m")
    fleet.Target(store, PLAIN, "p1", "plain")
    check_idle(bin_dir)
    check_signals(bin_dir)
    check_streams(bin_dir, model)
    check_full_pipe(bin_dir)


def check_silent_store(bin_dir):
    store = SilentStore()
    router, agent = fleet.start_router(bin_dir, ROUTER), fleet.start_agent(bin_dir, MODEL)
    time.sleep(0.5)
    print("silent store: agent", end(agent, AGENT_PLAN_SECONDS), "router", end(router, ROUTER_PLAN_SECONDS))
    store.stop()


# Guards against processes that outlast the grace period: a library's threads could not be joined at exit where one
# thread of a process runs at a time.
def check_idle(bin_dir):
    router, agent = start_both(bin_dir)
    print("threads: router", count_threads(router), "agent", count_threads(agent))
    for daemon in (router, agent):
        os.sched_setaffinity(daemon.process.pid, {min(os.sched_getaffinity(0))})
    print("idle on one processor: agent", end(agent, AGENT_PLAN_SECONDS), "router", end(router, ROUTER_PLAN_SECONDS))
    print("last lines: router", last_event(router), "agent", last_event(agent))


def last_event(daemon):
    return daemon.log_text().splitlines()[-1].split()[3]


def check_signals(bin_dir):
    router, agent = start_both(bin_dir)
    twice = (signal.SIGTERM, signal.SIGTERM)
    print("SIGTERM twice: agent", end(agent, AGENT_PLAN_SECONDS, twice), "router",
          end(router, ROUTER_PLAN_SECONDS, twice))
    router, agent = start_both(bin_dir)
    mixed = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
    print("SIGHUP and SIGTERM: agent", end(agent, AGENT_PLAN_SECONDS, mixed), "router",
          end(router, ROUTER_PLAN_SECONDS, mixed))
    # Before the process handles signals, SIGTERM ends it as by default.
    codes = set()
    for delay in START_DELAYS_SECONDS:
        agent = fleet.start_agent(bin_dir, MODEL)
        time.sleep(delay)
        codes.add(end(agent, AGENT_PLAN_SECONDS))
    print("SIGTERM during start: unexpected", sorted(codes - {0, -signal.SIGTERM}, key=str))


def check_streams(bin_dir, model):
    router, agent = start_both(bin_dir)
    model.behaviour = ["mute"]
    callers = [threading.Thread(target=fleet.stream, args=(ROUTER,), daemon=True) for _ in range(3)]
    idle = [socket.create_connection((ROUTER, fleet.FRONTEND_PORT)) for _ in range(20)]
    partial = fleet.send_partial_request(ROUTER)
    for caller in callers:
        caller.start()
    time.sleep(0.2)
    print("streams under way: agent", end(agent, AGENT_PLAN_SECONDS), "router", end(router, ROUTER_PLAN_SECONDS))
    for connection in [*idle, partial]:
        connection.close()
    model.behaviour = []


# The end does not wait for a reader of the log. What was written are whole lines, and lines that the pipe held back are
# counted on standard error.
def check_full_pipe(bin_dir):
    router = fleet.start_router(bin_dir, ROUTER)
    router.process.kill()
    router.process.wait()
    router.process = subprocess.Popen(  # pylint: disable=consider-using-with
        router.command, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        env={**os.environ, "DOGWOODLATCH_BOOT": router.settings.name})
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    for _ in range(700):
        fleet.request(ROUTER, "/none/x")
    print("full pipe: router", end(router, ROUTER_PLAN_SECONDS))
    lines = router.process.stdout.read().decode().splitlines()
    print("whole lines", all(line.split()[3].startswith("E") for line in lines), len(lines) > 100)
    last = router.process.stderr.read().decode().splitlines()
    print("held back lines counted", [line.split()[3:5] for line in last])
