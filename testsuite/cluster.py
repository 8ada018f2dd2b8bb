"""Test harness: starts and stops the project's processes on the loopback interface."""

import hashlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

HOST = "127.0.0.1"
WAIT_SECONDS = 10.0
REPORTED_LOG_LINES = 60

# The range lies below the kernel's ephemeral ports. Otherwise an outgoing connection could take a port after it has
# been chosen and before the daemon binds it.
FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK = 10000, 32000, 100


class PortAllocator:
    """Allocates each port once.

    Ports are reserved in blocks. A process owns a block as long as it keeps the block's first port bound, so that
    cases which run at the same time cannot take the port of a daemon that is being restarted.
    """

    def __init__(self):
        self.block_sockets = []
        self.free_ports = []

    def allocate(self):
        while True:
            if not self.free_ports:
                self.free_ports = self.reserve_block()
            port = self.free_ports.pop()
            with socket.socket() as probe:
                if try_bind(probe, port):
                    return port

    def reserve_block(self):
        blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            block_socket = socket.socket()
            if try_bind(block_socket, first):
                self.block_sockets.append(block_socket)
                return list(range(first + 1, first + PORTS_PER_BLOCK))
            block_socket.close()
        raise RuntimeError(f"no free block of {PORTS_PER_BLOCK} ports between {FIRST_PORT} and {LAST_PORT}")


def try_bind(probe, port):
    try:
        probe.bind((HOST, port))
        return True
    except OSError:
        return False


PORT_ALLOCATOR = PortAllocator()


def free_port():
    """Returns a port that is not in use and has not been allocated by this process or another."""
    return PORT_ALLOCATOR.allocate()


def request(port, method, path, body=None, headers=None, timeout=30.0):
    """Sends one HTTP request; returns (status, headers, text)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = body if isinstance(body, (str, bytes, type(None))) else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def wait_until(condition, description, seconds=WAIT_SECONDS):
    # An OSError, such as a refused connection, counts as false.
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError("timed out waiting for " + description)


class Process:
    """A daemon or stand-in that can be restarted with the same command line."""

    def __init__(self, name, command, log_dir):
        self.name = name
        self.command = command
        self.log_path = os.path.join(log_dir, name + ".log")
        self.child = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(self.command, stdout=log, stderr=log)

    def send_signal(self, signal_number):
        self.child.send_signal(signal_number)

    def kill(self):
        """Sends SIGKILL and waits for the exit."""
        self.child.kill()
        self.child.wait()

    def stop(self, seconds=WAIT_SECONDS):
        """Sends SIGTERM and waits; returns the exit code, or None if the process had to be killed."""
        if self.child.poll() is not None:
            return self.child.returncode
        self.child.send_signal(signal.SIGCONT)
        self.child.terminate()
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def restart(self):
        self.start()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()


class Target:
    """A target and its agent."""

    def __init__(self, target_id, kind, serves, process, agent, target_port, agent_port, ops_port, domain):
        self.id = target_id
        self.kind = kind
        self.serves = serves
        self.process = process
        self.agent = agent
        self.target_port = target_port
        self.agent_port = agent_port
        self.ops_port = ops_port
        self.domain = domain
        self.state = "live"
        self.journal = None

    # The target's entry in the platform's VM list.
    def vm_entry(self):
        return {"id": self.id, "kind": self.kind, "serves": self.serves, "state": self.state,
                "agent": f"{HOST}:{self.agent_port}", "failure_domain": self.domain}


class Router:
    def __init__(self, process, port, ops_port):
        self.process = process
        self.port = port
        self.ops_port = ops_port


class Cluster:
    """A platform stand-in, targets with agents, and routers; a context manager that stops them at the end."""

    # Exit codes and last log lines of the processes of the most recent cluster; printed when a case fails.
    last_process_reports = []

    def __init__(self, bin_dir):
        self.bin_dir = bin_dir
        self.directory = tempfile.TemporaryDirectory()
        self.processes = []
        self.targets = []
        self.routers = []
        self.platform_port = free_port()
        self.platform = self.start_process("platform", self.standin_command("platform", self.platform_port))
        wait_until(lambda: self.control({}) is not None, "the platform")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        exit_codes = {process.name: process.child.poll() for process in self.processes}
        for process in reversed(self.processes):
            process.stop(3.0)
        Cluster.last_process_reports = [
            f"--- {process.name}, exit code before the end {exit_codes[process.name]}\n"
            + "".join(process.log().splitlines(True)[-REPORTED_LOG_LINES:])
            for process in self.processes]
        self.directory.cleanup()

    def path(self, name):
        return os.path.join(self.directory.name, name)

    def start_process(self, name, command):
        process = Process(name, command, self.directory.name)
        self.processes.append(process)
        return process

    def program_path(self, name):
        return os.path.join(self.bin_dir, name)

    def standin_command(self, role, port, *options):
        return [self.program_path("dogwoodlatch-standin"), role, "--listen", f"{HOST}:{port}", *options]

    def start_daemon(self, program, name, settings):
        file = self.path(name + ".json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(settings, out, indent=2)
        return self.start_process(name, [self.program_path(program), "--config", file])

    def control(self, command):
        return json.loads(request(self.platform_port, "POST", "/control", command)[2])

    def put_object(self, path, value, version=0):
        status, _, text = request(self.platform_port, "PUT", "/objects/" + path, value, {"If-Match": str(version)})
        assert status == 200, text
        return json.loads(text)["version"]

    def publish_vms(self):
        request(self.platform_port, "PUT", "/vms", [target.vm_entry() for target in self.targets])

    def add_target(self, target_id, kind, serves, options, domain="a", agent_settings=None):
        target_port, agent_port, ops_port = free_port(), free_port(), free_port()
        process = self.start_process(target_id, self.standin_command(kind, target_port, *options))
        settings = {"id": target_id + "-agent", "router_address": f"{HOST}:{agent_port}",
                    "ops_address": f"{HOST}:{ops_port}",
                    "target": {"id": target_id, "kind": kind, "address": f"{HOST}:{target_port}"}}
        if kind == "service":
            settings["platform"] = {"address": f"{HOST}:{self.platform_port}", "timeout_ms": 500}
        settings.update(agent_settings or {})
        agent = self.start_daemon("dogwoodlatch-agent", settings["id"], settings)
        target = Target(target_id, kind, serves, process, agent, target_port, agent_port, ops_port, domain)
        self.targets.append(target)
        return target

    def add_engine(self, target_id, model="assistant", domain="a", options=(), agent_settings=None):
        return self.add_target(target_id, "engine", model, ["--model", model, *options], domain, agent_settings)

    def add_service(self, target_id, service, domain="a", options=(), agent_settings=None):
        journal = self.path(service + ".journal")
        target = self.add_target(target_id, "service", service, ["--name", service, "--journal", journal, *options],
                                 domain, agent_settings)
        target.journal = journal
        return target

    def add_router(self, name, extra=None):
        port, ops_port = free_port(), free_port()
        settings = {"id": name, "caller_address": f"{HOST}:{port}", "ops_address": f"{HOST}:{ops_port}",
                    "platform": {"address": f"{HOST}:{self.platform_port}"}}
        settings.update(extra or {})
        ops_port = int(settings["ops_address"].rsplit(":", 1)[1])
        router = Router(self.start_daemon("dogwoodlatch-router", name, settings), port, ops_port)
        self.routers.append(router)
        return router

    def add_routers(self, count, extra=None):
        """Starts routers that have each other as peers."""
        ops_ports = [free_port() for _ in range(count)]
        peers = [f"{HOST}:{port}" for port in ops_ports]
        return [self.add_router(f"router-{number + 1}",
                                {"ops_address": own, "peers": [peer for peer in peers if peer != own], **(extra or {})})
                for number, own in enumerate(peers)]

    def connect_peers(self):
        """Configures all routers as peers of each other; takes effect when a router is restarted."""
        for router in self.routers:
            file = self.path(router.process.name + ".json")
            with open(file, encoding="utf-8") as source:
                settings = json.load(source)
            settings["peers"] = [f"{HOST}:{other.ops_port}" for other in self.routers if other is not router]
            with open(file, "w", encoding="utf-8") as out:
                json.dump(settings, out, indent=2)

    def wait_ready(self):
        for target in self.targets:
            wait_until(lambda t=target: request(t.ops_port, "GET", "/readyz")[0] == 200, target.id)
        self.publish_vms()
        for router in self.routers:
            self.wait_router_ready(router)

    def wait_router_ready(self, router):
        def has_vm_list():
            if request(router.ops_port, "GET", "/readyz")[0] != 200:
                return False
            return json.loads(request(router.ops_port, "GET", "/status")[2])["vm_list"] > 1
        wait_until(has_vm_list, router.process.name)


def router_status(router):
    return json.loads(request(router.ops_port, "GET", "/status")[2])


def team_settings(workspaces=("tengri",), models=("assistant",), services=None, model_settings=None):
    """Returns a team's settings object; the bearer key of workspace W is "key-W"."""
    return {
        "workspaces": {w: {"key_sha256": hashlib.sha256(f"key-{w}".encode()).hexdigest()} for w in workspaces},
        "models": {m: dict(model_settings or {}) for m in models},
        "services": services or {},
    }


def start_two_engines(cluster, options=("--token-ms", "20"), agent_settings=None, routers=1,
                      router_settings=None):
    """Starts two engines and the given number of peer routers; returns the routers."""
    cluster.put_object("settings/tengri", team_settings())
    for number in (1, 2):
        cluster.add_engine(f"engine-{number}", options=options, agent_settings=agent_settings)
    started = cluster.add_routers(routers, router_settings)
    cluster.wait_ready()
    return started


def call_at_part(number, act):
    """Returns an `on_part` callback for stream_chat that calls `act` when part `number` arrives."""
    return lambda part: act() if part == number else None


def print_stream(text, reference, done, error):
    print("whole and in order", is_complete(text, reference), "words", len(text.split()), "done", done, "error", error)


def running_target(cluster):
    """Returns the first target whose agent reports a running request, or None."""
    for target in cluster.targets:
        if target.agent.child.poll() is None:
            if json.loads(request(target.ops_port, "GET", "/status")[2])["running"] > 0:
                return target
    return None


def count_running(target):
    """Returns the number of requests that the target's agent reports as running."""
    return json.loads(request(target.ops_port, "GET", "/status")[2])["running"]


def count_runs(cluster, keys):
    """Returns how often the calls of the keys ran at the service, by its journal, each number once."""
    with open(cluster.targets[0].journal, encoding="utf-8") as file:
        ran = [line.split()[-1] for line in file]
    return sorted({ran.count(key) for key in keys})


def is_complete(text, reference):
    """Whether a streamed text has each token of the reference exactly once and in order."""
    return text.split() == reference.split()


def bearer_headers(workspace):
    return {"Authorization": f"Bearer key-{workspace}", "Content-Type": "application/json"}


def chat_body(text, max_tokens=8, stream=False, model="assistant"):
    return {"model": model, "messages": [{"role": "user", "content": text}], "max_tokens": max_tokens,
            "stream": stream}


def stream_chat(port, workspace, text, max_tokens=8, on_part=None, timeout=30.0):
    """Streams one completion; returns (text, whether it ended with [DONE], error event or None)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    parts, done, error = [], False, None
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(chat_body(text, max_tokens, True)),
                           bearer_headers(workspace))
        response = connection.getresponse()
        if response.status != 200:
            return "", False, json.loads(response.read())
        for line in response:
            line = line.decode().strip()
            if not line.startswith("data: "):
                continue
            data = line[len("data: "):]
            if data == "[DONE]":
                done = True
                continue
            event = json.loads(data)
            if "error" in event:
                error = event
                continue
            for choice in event["choices"]:
                if choice["delta"].get("content"):
                    parts.append(choice["delta"]["content"])
                    if on_part:
                        on_part(len(parts))
        return "".join(parts), done, error
    finally:
        connection.close()
