"""Soak test of dogwoodlatchd: real routers and agents, stand-ins for the rest, random overlapping faults by seed.

    python3 testsuite/soak/soak.py --bin-dir build/bin --first-seed 1 --seeds 50 --seconds 8

Callers and targets record what they observe, and the guarantees are checked against these records alone. The program
prints a line for each seed and exits with 1 if a guarantee was violated; the injected faults and the last log lines of
that seed go to standard error.
"""

import argparse
import collections
import os
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fault_proxy  # noqa: E402  pylint: disable=wrong-import-position
import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER_IPS = ["127.0.1.2", "127.0.1.3", "127.0.1.4"]
MODEL_IPS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]
PLAIN_IPS = ["127.0.1.21", "127.0.1.22"]
EXPECTED_EVENT_IDS = [str(event) for event in range(1, 9)]
MAX_RUNS = {"write": 1, "read": 2, "stream": 2}  # the most attempts that a request of each route may have
CALLERS = 6
REVOCATION_SECONDS = 3.0
# Allowance for the time between the sending of a request by the caller and the record of its run at the target.
TRANSFER_SECONDS = 0.3
RECOVERY_SECONDS = 8.0
GRACE_SECONDS = 8.0  # from SIGTERM to SIGKILL, as in the daemons' settings
MAX_PAUSE_SECONDS = 1.5
BAD_BEHAVIOURS = ["broken", "lost", "full", "failing", "unsealed", "extra", "mute", "reset", "busy 0.6", "busy soon",
                  "endless_body", "endless_head", "endless_chunk_header"]
ENTRY_LIFETIME_SECONDS = 3.6  # entries of targets that are gone lapse after three heartbeats


class Observations:
    """Records of what callers sent and received. Targets record separately which requests they ran."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}  # request id -> (kind, key, time sent)
        self.statuses = {}  # request id -> status of the response
        self.violations = []  # descriptions of violated guarantees

    def record_request(self, kind, key):
        request_id = fleet.new_request_id()
        with self.lock:
            self.sent[request_id] = (kind, key, time.monotonic())
        return request_id

    def record_response(self, request_id, status, violation):
        with self.lock:
            self.statuses[request_id] = status
            if violation:
                self.violations.append(f"{violation} ({request_id}, status {status})")


class SoakSimulation:
    def __init__(self, bin_dir, seed):
        self.random = random.Random(seed)
        self.behaviour_random = random.Random(seed + 1)
        self.bad_share = 0.0  # share of requests that a target mishandles
        self.observed = Observations()
        self.keys = ["k1", "k2"]
        self.revoked_at = None
        self.version = 1
        self.incarnations = 0
        self.events = []
        self.started = time.monotonic()
        self.is_finished = False
        self.timers = []
        # Proxies listen on the well-known ports of the store and the targets, which themselves listen one port above.
        self.store = fleet.Store(fleet.STORE_PORT + 1)
        addresses = [(fleet.STORE_IP, fleet.STORE_PORT), *((ip, fleet.TARGET_PORT) for ip in [*MODEL_IPS, *PLAIN_IPS])]
        self.links = [fault_proxy.FaultProxy((ip, port), (ip, port + 1)) for ip, port in addresses]
        self.store.put("config", "main", fleet.configuration(1, self.keys))
        self.model_targets = [fleet.Target(self.store, ip, f"m{number}", "model-service", "m", self.choose_behaviour,
                                           fleet.TARGET_PORT + 1)
                              for number, ip in enumerate(MODEL_IPS)]
        self.plain_targets = [fleet.Target(self.store, ip, f"p{number}", "plain", choose=self.choose_behaviour,
                                           port=fleet.TARGET_PORT + 1)
                              for number, ip in enumerate(PLAIN_IPS)]
        self.routers = [fleet.start_router(bin_dir, ip) for ip in ROUTER_IPS]
        # Some fleets run agents beside a few of their targets, or beside none.
        agent_ips = MODEL_IPS[:self.random.choice([3, 3, 1, 0])]
        self.agents = [fleet.start_agent(bin_dir, ip) for ip in agent_ips]
        self.store_copy = self.store.copy()

    def choose_behaviour(self):
        if self.behaviour_random.random() >= self.bad_share:
            return "good"
        return self.behaviour_random.choice(BAD_BEHAVIOURS)

    def log_event(self, text):
        self.events.append(f"{time.monotonic() - self.started:6.2f} {text}")

    def schedule(self, seconds, action):
        timer = threading.Timer(seconds, action)
        timer.start()
        self.timers.append(timer)

    # Faults. Each is temporary, apart from revoke_key, replace_target and publish_weights.

    def kill_router(self):
        self.restart([self.random.choice(self.routers)], signal.SIGKILL)

    def stop_router(self):
        self.restart([self.random.choice(self.routers)], signal.SIGTERM)

    def kill_agent(self):
        if self.agents:
            self.restart([self.random.choice(self.agents)], signal.SIGKILL)

    def kill_all_daemons(self):
        self.restart([*self.routers, *self.agents], signal.SIGKILL)

    def restart(self, daemons, signal_number):
        """Sends the signal to the daemons, waits until all have exited and starts them again.

        A daemon that has exited unexpectedly is not restarted, so that the final check reports it.
        """
        daemons = [daemon for daemon in daemons if daemon.process.poll() is None]
        for daemon in daemons:
            self.log_event(f"signal {signal_number.name} to {daemon.ip}")
            daemon.process.send_signal(signal_number)
        for daemon in daemons:
            self.expect_exit(daemon, signal_number)
        for daemon in daemons:
            daemon.start()

    def expect_exit(self, daemon, signal_number):
        """A daemon that is stopped exits by itself within its grace period, with code 0 once it handles signals."""
        expected = {0, -signal.SIGTERM} if signal_number == signal.SIGTERM else {-signal_number}
        try:
            code = daemon.wait(GRACE_SECONDS + MAX_PAUSE_SECONDS)
        except subprocess.TimeoutExpired:
            daemon.process.kill()
            daemon.process.wait()
            code = "late"
        if code not in expected:
            self.observed.violations.append(f"{daemon.ip} ended with {code} after {signal_number.name}")

    def pause_daemon(self):
        daemon = self.random.choice([*self.routers, *self.agents])
        self.log_event(f"pause {daemon.ip}")
        process = daemon.process
        process.send_signal(signal.SIGSTOP)
        self.schedule(self.random.uniform(0.2, MAX_PAUSE_SECONDS), lambda: process.send_signal(signal.SIGCONT))

    def reload_router(self):
        self.random.choice(self.routers).process.send_signal(signal.SIGHUP)

    def make_targets_misbehave(self):
        self.bad_share = self.random.choice([0.05, 0.3, 0.8])
        self.log_event(f"targets mishandle a share of {self.bad_share}")
        self.schedule(1.5, lambda: setattr(self, "bad_share", 0.0))

    def refuse_store_requests(self):
        self.log_event("store refuses requests")
        self.store.is_refusing = True
        self.schedule(self.random.uniform(0.3, 2.5), lambda: setattr(self.store, "is_refusing", False))

    def delay_store(self):
        self.store.delay = self.random.choice([0.2, 1.0, 3.0])
        self.log_event(f"store responds {self.store.delay} s late")
        self.schedule(2, lambda: setattr(self.store, "delay", 0.0))

    def serve_stale_store(self):
        self.log_event("store hides new revisions")
        self.store.hides_since = self.store.revision
        self.schedule(1.5, lambda: setattr(self.store, "hides_since", None))

    def restore_store(self):
        """Brings the store back from an older copy; the operator and the targets then write again."""
        self.log_event("store comes back from an older copy")
        self.store.restore(self.store_copy)
        time.sleep(self.random.uniform(0.1, 1.0))
        version, keys = (1, self.keys) if self.revoked_at is None else (2, self.keys[:1])
        self.store.put("config", "main", fleet.configuration(version, keys))
        if self.version > 1:
            self.store.put("versions", "m", {"model": "m", "version": self.version})
        for target in [*self.model_targets, *self.plain_targets]:
            target.register()
        self.schedule(ENTRY_LIFETIME_SECONDS, self.remove_lapsed_entries)

    def remove_lapsed_entries(self):
        live = {target.name for target in [*self.model_targets, *self.plain_targets]}
        for name in [name for name in self.store.objects["servers"] if name not in live]:
            self.store.delete("servers", name)

    def let_target_leave(self):
        """A target says that it leaves; another one takes its address later."""
        target = self.random.choice([*self.model_targets, *self.plain_targets])
        self.incarnations += 1
        name = f"r{self.incarnations}"
        self.log_event(f"{target.name} leaves, then {name} comes")
        target.leaves = True
        self.schedule(self.random.uniform(0.3, 1.5), lambda: target.replace(name))

    def delay_link(self):
        self.disturb_link("max_delay_seconds", self.random.choice([0.02, 0.2, 0.6]), 0.0)

    def hold_requests(self):
        self.disturb_link("holds_requests", True, False)

    def hold_responses(self):
        self.disturb_link("holds_responses", True, False)

    def hold_both_directions(self):
        link, seconds = self.random.choice(self.links), self.random.uniform(0.3, 2.5)
        for field in ("holds_requests", "holds_responses"):
            self.disturb(link, field, True, False, seconds)

    def disturb_link(self, field, value, normal_value):
        self.disturb(self.random.choice(self.links), field, value, normal_value, self.random.uniform(0.3, 2.5))

    def disturb(self, link, field, value, normal_value, seconds):
        self.log_event(f"link to {link.upstream[0]}: {field} {value} for {seconds:.1f} s")
        setattr(link, field, value)
        self.schedule(seconds, lambda: setattr(link, field, normal_value))

    def reset_link(self):
        link = self.random.choice(self.links)
        self.log_event(f"link to {link.upstream[0]}: reset")
        link.reset_all()

    def replace_target(self):
        target = self.random.choice([*self.model_targets, *self.plain_targets])
        self.incarnations += 1
        self.log_event(f"replace target {target.name}")
        target.replace(f"r{self.incarnations}")

    def publish_weights(self):
        self.version += 1
        self.log_event(f"publish weights version {self.version}")
        self.store.put("versions", "m", {"model": "m", "version": self.version})

    def revoke_key(self):
        if self.revoked_at is not None:
            return
        self.store.put("config", "main", fleet.configuration(2, self.keys[:1]))
        self.revoked_at = time.monotonic()
        self.log_event("revoke key k2")

    # Callers.

    def run_caller(self, number):
        rng = random.Random(number)
        while not self.is_finished:
            kind = rng.choice(["write", "write", "read", "stream", "disconnect"])
            self.send_request(kind, rng.choice(ROUTER_IPS), rng.choice(["k1", "k1", "k2"]), rng.random())

    def send_request(self, kind, router, key, position):
        if kind == "disconnect":
            fleet.start_stream_and_disconnect(router, self.observed.record_request("stream", "k1"), position * 0.1)
            return
        if kind == "stream":
            request_id = self.observed.record_request("stream", "k1")
            status, events = fleet.stream(router, identity=request_id, body=request_id.encode())
            is_expected_stream = status != 200 or events == EXPECTED_EVENT_IDS
            self.observed.record_response(request_id, status,
                                          None if is_expected_stream else f"stream of {events}")
            return
        request_id = self.observed.record_request(kind, key)
        method, body = ("POST", request_id.encode()) if kind == "write" else ("GET", b"")
        path = f"/{kind}/{request_id}"
        status, headers, text = fleet.request(router, path, method, body, key, identity=request_id)
        expected = f"{method} {path} {body.decode()}"
        is_expected_response = status != 200 or (text == expected and fleet.is_sealed(headers))
        self.observed.record_response(request_id, status,
                                      None if is_expected_response else f"unexpected response: {text!r}")
        if status == 0:
            time.sleep(0.02)  # the router is down

    def run(self, seconds):
        if not all(fleet.wait_until(lambda ip=ip: fleet.is_ready(ip)) for ip in ROUTER_IPS):
            self.observed.violations.append("a router was not ready at the start")
            return
        faults = [self.kill_router, self.stop_router, self.kill_agent, self.pause_daemon, self.pause_daemon,
                  self.reload_router, self.make_targets_misbehave, self.make_targets_misbehave,
                  self.refuse_store_requests, self.delay_store, self.serve_stale_store,
                  self.replace_target, self.replace_target, self.publish_weights, self.revoke_key,
                  self.kill_all_daemons, self.delay_link, self.hold_requests, self.hold_responses,
                  self.hold_both_directions, self.reset_link, self.restore_store, self.restore_store,
                  self.let_target_leave, self.let_target_leave]
        callers = [threading.Thread(target=self.run_caller, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 0.8))
            if self.random.random() < 0.3:
                self.store_copy = self.store.copy()
            self.random.choice(faults)()
        for timer in self.timers:
            timer.join()
        self.expect_recovery()
        self.is_finished = True
        for caller in callers:
            caller.join()
        self.check()

    def expect_recovery(self):
        for ip in ROUTER_IPS:
            def is_serving(router=ip):
                return (fleet.request(router, "/read/calm")[0] == 200
                        and fleet.stream(router, body=fleet.new_request_id().encode())[1] == EXPECTED_EVENT_IDS
                        and fleet.request(router, "/write/calm", "POST", b"1")[0] == 200)
            if not fleet.wait_until(is_serving, RECOVERY_SECONDS):
                self.observed.violations.append(f"{ip} did not serve again in {RECOVERY_SECONDS} s after the faults")

    def check(self):
        runs = collections.Counter()
        for target in [*self.model_targets, *self.plain_targets]:
            runs.update(target.ran)
        observations = self.observed
        for request_id, (kind, key, sent_at) in observations.sent.items():
            status = observations.statuses.get(request_id)
            if runs[request_id] > MAX_RUNS[kind]:
                observations.violations.append(f"{kind} {request_id} ran {runs[request_id]} times")
            if kind == "write" and status in (429, 503) and runs[request_id]:
                observations.violations.append(f"write {request_id} refused with {status}, and it ran")
            if key == "k2" and self.revoked_at and runs[request_id]:
                late = sent_at - self.revoked_at - REVOCATION_SECONDS
                if late > TRANSFER_SECONDS:
                    observations.violations.append(f"{request_id} ran {late:.1f} s too late after its key was revoked")
        for daemon in [*self.routers, *self.agents]:
            if daemon.process.poll() is not None:
                observations.violations.append(f"{daemon.ip} exited unexpectedly with code {daemon.process.returncode}")

    def close(self):
        for daemon in [*self.routers, *self.agents]:
            daemon.process.kill()
            daemon.process.wait()
        for stand_in in [*self.links, self.store, *self.model_targets, *self.plain_targets]:
            stand_in.stop()


def run_seed(bin_dir, seed, seconds):
    """Runs one seed; returns the violations and a summary."""
    soak = SoakSimulation(bin_dir, seed)
    try:
        soak.run(seconds)
    finally:
        soak.is_finished = True
        soak.close()
    served = sum(status == 200 for status in soak.observed.statuses.values())
    if soak.observed.violations:
        print("\n".join(soak.events), file=sys.stderr)
        for daemon in [*soak.routers, *soak.agents]:
            print(f"--- {daemon.ip}\n" + daemon.log_text()[-4000:], file=sys.stderr)
    return soak.observed.violations, f"{len(soak.observed.sent)} asked, {served} served, {len(soak.events)} faults"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    is_clean = True
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        violations, summary = run_seed(arguments.bin_dir, seed, arguments.seconds)
        print(f"seed {seed}: {summary}; {violations[:5] or 'clean'}", flush=True)
        is_clean = is_clean and not violations
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
