"""dogwoodlatch-router and dogwoodlatch-agent end within their plan when they are stopped, whatever is open."""

import http.client
import json
import signal
import socket
import subprocess
import threading
import time

from cluster import HOST, Cluster, count_running, running_target, start_two_engines, stream_chat, wait_until

DRAIN_SECONDS = 1.0
# Beyond the drain timeout a process only closes what is left.
PLAN_SECONDS = DRAIN_SECONDS + 1.0
SETTINGS = {"drain_timeout_ms": int(DRAIN_SECONDS * 1000)}
STREAM_TOKENS = 500
START_DELAYS_SECONDS = (0, 0.005, 0.01, 0.02, 0.04, 0.08)


def end(process, signals=(signal.SIGTERM,)):
    """Sends the signals and returns the exit code, or "late" if the process had to be killed after its plan."""
    for number in signals:
        process.send_signal(number)
    try:
        return process.child.wait(PLAN_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return "late"


def stop_both(name, cluster, signals=(signal.SIGTERM,)):
    """Stops the first agent and the router."""
    print(f"{name}: agent", end(cluster.targets[0].agent, signals), "router", end(cluster.routers[0].process, signals))


def restart_both(cluster):
    cluster.targets[0].agent.restart()
    cluster.routers[0].process.restart()
    cluster.wait_ready()


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        start_two_engines(cluster, agent_settings=SETTINGS, router_settings=SETTINGS)
        stop_both("idle", cluster)
        restart_both(cluster)
        stop_both("SIGTERM twice", cluster, (signal.SIGTERM, signal.SIGTERM))
        restart_both(cluster)
        check_start(cluster)
        check_connections(cluster)
        check_streams(cluster)
        check_silent_target(cluster)
        check_silent_platform(cluster)


def check_start(cluster):
    # Before the process handles signals, SIGTERM ends it as by default.
    codes = set()
    for process in (cluster.targets[0].agent, cluster.routers[0].process):
        end(process)
        for delay in START_DELAYS_SECONDS:
            process.restart()
            time.sleep(delay)
            codes.add(end(process))
        process.restart()
    print("SIGTERM during start: unexpected", sorted(codes - {0, -signal.SIGTERM}, key=str))
    cluster.wait_ready()


# Guards against an end that waits for peers which keep their connections open.
def check_connections(cluster):
    target, router = cluster.targets[0], cluster.routers[0]
    connections = [socket.create_connection((HOST, port))
                   for port in (target.agent_port, target.ops_port, router.port, router.ops_port)]
    for connection in connections:
        connection.sendall(b"GET /status HTTP/1.1\r\nHost: x\r\n")
    time.sleep(0.2)
    stop_both("unfinished requests", cluster)
    print("the router's answer", connections[2].recv(4096).split(b"\r\n")[0].decode())
    for connection in connections:
        connection.close()
    restart_both(cluster)
    connections = [socket.create_connection((HOST, port)) for port in (target.ops_port, router.port, router.ops_port)]
    for connection in connections:
        connection.sendall(b"GET /status HTTP/1.1\r\nHost: x\r\n\r\n")
    time.sleep(0.2)
    stop_both("kept connections", cluster)
    for connection in connections:
        connection.close()
    restart_both(cluster)


def start_streams(cluster, act):
    """Starts streams that last longer than the drain timeout, calls `act` while they run, and waits for their ends."""
    def stream(number):
        try:
            stream_chat(cluster.routers[0].port, "tengri", f"explain log {number}", STREAM_TOKENS)
        except (OSError, http.client.HTTPException, json.JSONDecodeError):
            pass  # cut by the stop

    callers = [threading.Thread(target=stream, args=(number,), daemon=True) for number in range(3)]
    for caller in callers:
        caller.start()
    wait_until(lambda: running_target(cluster) is not None, "a stream")
    # The agent that is stopped has streams under way.
    cluster.targets.sort(key=count_running, reverse=True)
    act()
    for caller in callers:
        caller.join(STREAM_TOKENS * 0.02 + PLAN_SECONDS)


# Guards against an end that waits for the last event of a stream in place of the drain timeout.
def check_streams(cluster):
    start_streams(cluster, lambda: stop_both("streams under way", cluster))
    restart_both(cluster)


def check_silent_target(cluster):
    def stop_beside_silence():
        for target in cluster.targets:
            target.process.send_signal(signal.SIGSTOP)
        stop_both("silent targets", cluster)
        for target in cluster.targets:
            target.process.send_signal(signal.SIGCONT)

    start_streams(cluster, stop_beside_silence)
    restart_both(cluster)


def check_silent_platform(cluster):
    cluster.platform.send_signal(signal.SIGSTOP)
    time.sleep(0.3)
    stop_both("silent platform", cluster)
    cluster.platform.send_signal(signal.SIGCONT)
