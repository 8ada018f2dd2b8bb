"""Soak test of dogwoodlatchd: real routers and agents, stand-ins for the rest, random overlapping faults by seed.

    python3 testsuite/soak/soak.py --bin-dir build/bin --first-seed 1 --seeds 50 --seconds 8

Callers and targets record what they observe, and the guarantees are checked against these records and those of the
injected faults alone. An attempt that ends without a complete response needs an excuse among them (excuses.py). The
program prints a line for each seed and exits with 1 if a guarantee was violated; the injected faults and the last log
lines of that seed go to standard error.
"""

import argparse
import collections
import os
import random
import select
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import excuses  # noqa: E402  pylint: disable=wrong-import-position
import fault_proxy  # noqa: E402  pylint: disable=wrong-import-position
import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER_IPS = ["127.0.1.2", "127.0.1.3", "127.0.1.4"]
MODEL_IPS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]
PLAIN_IPS = ["127.0.1.21", "127.0.1.22"]
EXPECTED_EVENT_IDS = [str(event) for event in range(1, 9)]
MAX_RUNS = {"write": 1, "read": 2, "stream": 2}  # the most attempts that a request of each route may have
BUSY_CALLERS = 6  # each keeps a connection to each router and hardly pauses
IDLE_CALLERS = 6  # each keeps several connections to each router, which are idle for up to the limit
CONNECTIONS_OF_IDLE_CALLER = 4
IDLE_TIMEOUTS_MS = [2000, 2000, 3000]
IDLE_LIMIT_SECONDS = 2.0  # the lowest one, as a lower limit comes into force at an unknown time
TIMEOUTS_MS = [3000, 2500]
# Bytes of a caller, and the end of a connection, are on their way for up to this time.
MAX_TRANSIT_SECONDS = 0.005
REVOCATION_SECONDS = 3.0
# Allowance for the time between the sending of a request by the caller and the record of its run at the target.
TRANSFER_SECONDS = 0.3
RECOVERY_SECONDS = 8.0
GRACE_SECONDS = 8.0  # from SIGTERM to SIGKILL, as in the daemons' settings
MAX_PAUSE_SECONDS = 1.5
BAD_BEHAVIOURS = ["broken", "lost", "full", "failing", "unsealed", "extra", "mute", "reset", "busy 0.6", "busy soon",
                  "endless_body", "endless_head", "endless_chunk_header", "silent 1.2"]
# Targets that fall silent in mid-stream and go on, while others are full or break off.
SILENT_BEHAVIOURS = [f"silent {seconds}" for seconds in (0.5, 0.8, 1.2, 2.0)] * 2 + ["full", "busy 1", "lost", "reset",
                                                                                  "unsealed"]
FAULTS = ["kill_router", "stop_router", "kill_agent", "pause_daemon", "pause_daemon", "reload_router",
          "make_targets_misbehave", "make_targets_misbehave", "refuse_store_requests", "delay_store",
          "serve_stale_store", "replace_target", "replace_target", "publish_weights", "revoke_key", "kill_all_daemons",
          "delay_link", "hold_requests", "hold_responses", "hold_both_directions", "reset_link", "restore_store",
          "restore_store", "let_target_leave", "let_target_leave", "stop_router", "stop_routers_in_turn",
          "change_configuration_in_series", "change_configuration_in_series", "make_targets_fall_silent",
          "make_targets_fall_silent", "remove_target_after_outage"]
ENTRY_LIFETIME_SECONDS = 3.6  # entries of targets that are gone lapse after three heartbeats


class Observations:
    """Records of what callers sent and received. Targets record separately which requests they ran."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {}  # request id -> (kind, key, time sent)
        self.statuses = {}  # request id -> status of the response
        self.attempts = {}  # request id -> (router, fleet.Attempt)
        self.violations = []  # descriptions of violated guarantees

    def record_request(self, kind, key):
        request_id = fleet.new_request_id()
        with self.lock:
            self.sent[request_id] = (kind, key, time.monotonic())
        return request_id

    def record_attempt(self, request_id, router, attempt, violation):
        with self.lock:
            self.statuses[request_id] = attempt.status
            self.attempts[request_id] = (router, attempt)
            if violation:
                self.violations.append(f"{violation} ({request_id}, status {attempt.status})")


class SoakSimulation:
    def __init__(self, bin_dir, seed):
        self.random = random.Random(seed)
        self.behaviour_random = random.Random(seed + 1)
        self.bad_share = 0.0  # share of requests that a target mishandles
        self.bad_behaviours = BAD_BEHAVIOURS
        self.seed = seed
        self.observed = Observations()
        self.keys = ["k1", "k2"]
        self.configuration_lock = threading.RLock()
        self.configuration = fleet.configuration(1, self.keys, idle_timeout_ms=IDLE_TIMEOUTS_MS[0])
        self.outages = []  # of routers
        self.restarting = set()  # addresses
        self.store_faults = []  # (start, end): routers may be out of touch with the store
        self.departures = []
        self.is_removing_target = False
        self.excuses = collections.Counter()  # of attempts without a complete response
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
        self.store.put("config", "main", self.configuration)
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
        return self.behaviour_random.choice(self.bad_behaviours)

    def log_event(self, text):
        self.events.append(f"{time.monotonic() - self.started:6.2f} {text}")

    def schedule(self, seconds, action):
        timer = threading.Timer(seconds, action)
        timer.start()
        self.timers.append(timer)

    def schedule_restart(self, *arguments):
        thread = threading.Thread(target=self.restart, args=arguments)
        thread.start()
        self.timers.append(thread)

    def configure(self, **changes):
        """Writes a new version of the configuration with `changes` in it."""
        with self.configuration_lock:
            version = self.configuration["version"] + 1
            self.configuration = fleet.configuration(version, self.keys, **changes)
            self.store.put("config", "main", self.configuration)

    # Faults. Each is temporary, apart from revoke_key, replace_target and publish_weights.

    def kill_router(self):
        self.schedule_restart([self.random.choice(self.routers)], signal.SIGKILL, "router killed")

    def stop_router(self):
        self.schedule_restart([self.random.choice(self.routers)], signal.SIGTERM, excuses.STOP)

    def stop_routers_in_turn(self):
        for number, router in enumerate(self.random.sample(self.routers, len(self.routers))):
            self.schedule(number * self.random.uniform(0.2, 3.0),
                          lambda router=router: self.restart([router], signal.SIGTERM, excuses.STOP))

    def kill_agent(self):
        if self.agents:
            self.schedule_restart([self.random.choice(self.agents)], signal.SIGKILL, "agent killed")

    def kill_all_daemons(self):
        self.schedule_restart([*self.routers, *self.agents], signal.SIGKILL, "power")

    def restart(self, daemons, signal_number, cause):
        """Sends the signal to the daemons, waits until all have exited and starts them again.

        A daemon that has exited unexpectedly is not restarted, so that the final check reports it.
        """
        with self.configuration_lock:
            daemons = [daemon for daemon in daemons
                       if daemon.ip not in self.restarting and daemon.process.poll() is None]
            self.restarting.update(daemon.ip for daemon in daemons)
        outages = [excuses.Outage(daemon.ip, cause, time.monotonic()) for daemon in daemons]
        self.outages += outages
        for daemon in daemons:
            self.log_event(f"signal {signal_number.name} to {daemon.ip}: {cause}")
            daemon.process.send_signal(signal_number)
        for daemon, outage in zip(daemons, outages):
            self.expect_exit(daemon, signal_number, outage)
        for daemon in daemons:
            daemon.start()
        for daemon, outage in zip(daemons, outages):
            if daemon in self.routers:
                fleet.wait_until(lambda ip=daemon.ip: fleet.is_listening(ip), RECOVERY_SECONDS)
            outage.ended_at = time.monotonic()
        with self.configuration_lock:
            self.restarting.difference_update(daemon.ip for daemon in daemons)

    def expect_exit(self, daemon, signal_number, outage):
        """A daemon that is stopped exits by itself within its grace period, with code 0 once it handles signals."""
        expected = {0, -signal.SIGTERM} if signal_number == signal.SIGTERM else {-signal_number}
        process_file = os.pidfd_open(daemon.process.pid)
        try:
            exited = select.select([process_file], [], [], GRACE_SECONDS + MAX_PAUSE_SECONDS)[0]
        finally:
            os.close(process_file)
        outage.exited_at = time.monotonic()
        if not exited:
            daemon.process.kill()
        code = daemon.process.wait()
        self.log_event(f"{daemon.ip} has exited")
        if not exited or code not in expected:
            self.observed.violations.append(
                f"{daemon.ip} ended with {code if exited else 'late'} after {signal_number.name}")

    def pause_daemon(self):
        daemon = self.random.choice([*self.routers, *self.agents])
        self.log_event(f"pause {daemon.ip}")
        process, seconds = daemon.process, self.random.uniform(0.2, MAX_PAUSE_SECONDS)
        self.record_store_fault(seconds)
        process.send_signal(signal.SIGSTOP)
        self.schedule(seconds, lambda: process.send_signal(signal.SIGCONT))

    def record_store_fault(self, seconds):
        now = time.monotonic()
        self.store_faults.append((now, now + seconds))

    def reload_router(self):
        router = self.random.choice(self.routers)
        if router.ip not in self.restarting:  # a process that starts does not handle the signal yet
            router.process.send_signal(signal.SIGHUP)

    def change_configuration_in_series(self):
        start = 0.0
        for _ in range(self.random.randint(3, 6)):
            changes = {"idle_timeout_ms": self.random.choice(IDLE_TIMEOUTS_MS),
                       "timeout_ms": self.random.choice(TIMEOUTS_MS),
                       "with_open_route": self.random.random() < 0.5}
            start += self.random.uniform(0.05, 0.6)
            self.schedule(start, lambda changes=changes: (self.log_event(f"configuration {changes}"),
                                                          self.configure(**changes)))

    def make_targets_fall_silent(self):
        self.bad_behaviours = SILENT_BEHAVIOURS
        self.bad_share = self.random.choice([0.3, 0.9])
        self.log_event(f"targets fall silent in a share of {self.bad_share}")
        self.schedule(1.5, lambda: setattr(self, "bad_share", 0.0))

    def make_targets_misbehave(self):
        self.bad_behaviours = BAD_BEHAVIOURS
        self.bad_share = self.random.choice([0.05, 0.3, 0.8])
        self.log_event(f"targets mishandle a share of {self.bad_share}")
        self.schedule(1.5, lambda: setattr(self, "bad_share", 0.0))

    def refuse_store_requests(self):
        self.refuse_store_requests_for(self.random.uniform(0.3, 2.5))

    def refuse_store_requests_for(self, seconds):
        self.log_event(f"store refuses requests for {seconds:.1f} s")
        self.record_store_fault(seconds)
        self.store.is_refusing = True
        self.schedule(seconds, lambda: setattr(self.store, "is_refusing", False))

    def remove_target_after_outage(self):
        """A target leaves without notice when the store is back, and goes on to serve for a while."""
        if self.is_removing_target:
            return
        self.is_removing_target = True
        seconds = self.random.uniform(2.6, 3.2)
        self.refuse_store_requests_for(seconds)
        target = self.random.choice(self.plain_targets)
        self.schedule(seconds + self.random.uniform(1.0, 2.8), lambda: self.remove_target(target))

    def remove_target(self, target):
        if target.is_unlisted or target.leaves:
            self.is_removing_target = False
            return
        target.depart()
        departure = excuses.Departure(target, self.store.era, time.monotonic())
        self.departures.append(departure)
        self.log_event(f"entry of {target.name} is removed")
        time.sleep(3.2)
        departure.ended_at = time.monotonic()
        self.replace(target)
        self.is_removing_target = False

    def delay_store(self):
        self.store.delay = self.random.choice([0.2, 1.0, 3.0])
        self.log_event(f"store responds {self.store.delay} s late")
        self.record_store_fault(2 + self.store.delay)
        self.schedule(2, lambda: setattr(self.store, "delay", 0.0))

    def serve_stale_store(self):
        self.log_event("store hides new revisions")
        self.record_store_fault(1.5)
        self.store.hides_since = self.store.revision
        self.schedule(1.5, lambda: setattr(self.store, "hides_since", None))

    def restore_store(self):
        """Brings the store back from an older copy; the operator and the targets then write again."""
        self.log_event("store comes back from an older copy")
        self.store.restore(self.store_copy)
        time.sleep(self.random.uniform(0.1, 1.0))
        with self.configuration_lock:
            self.store.put("config", "main", self.configuration)
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
        if target.is_unlisted:
            return
        self.log_event(f"{target.name} leaves")
        target.leaves = True
        self.schedule(self.random.uniform(0.3, 1.5), lambda: self.replace(target))

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
        if link.upstream[0] == fleet.STORE_IP:
            self.record_store_fault(seconds)
        setattr(link, field, value)
        self.schedule(seconds, lambda: setattr(link, field, normal_value))

    def reset_link(self):
        link = self.random.choice(self.links)
        self.log_event(f"link to {link.upstream[0]}: reset")
        link.reset_all()

    def replace_target(self):
        target = self.random.choice([*self.model_targets, *self.plain_targets])
        if not target.is_unlisted:
            self.replace(target)

    def replace(self, target):
        with self.configuration_lock:
            self.incarnations += 1
            name = f"r{self.incarnations}"
        self.log_event(f"replace target {target.name} by {name}")
        target.replace(name)

    def publish_weights(self):
        self.version += 1
        self.log_event(f"publish weights version {self.version}")
        self.store.put("versions", "m", {"model": "m", "version": self.version})

    def revoke_key(self):
        if self.revoked_at is not None:
            return
        with self.configuration_lock:
            self.keys = self.keys[:1]
            self.configure(idle_timeout_ms=IDLE_TIMEOUTS_MS[0])
            self.revoked_at = time.monotonic()
        self.log_event("revoke key k2")

    # Callers.

    def run_caller(self, number, connections_per_router, choose_pause):
        rng = random.Random(f"{self.seed}.{number}")
        due = {fleet.KeptConnection(ip): 0.0 for ip in ROUTER_IPS * connections_per_router}
        while not self.is_finished:
            connection = min(due, key=due.get)
            time.sleep(max(0.0, due[connection] - time.monotonic()))
            kind = rng.choice(["write", "write", "read", "stream", "disconnect"])
            attempt = self.send_request(kind, connection, rng.choice(["k1", "k1", "k2"]), rng)
            if rng.random() < 0.1:
                connection.close()
            idle_since = connection.idle_since or time.monotonic()
            due[connection] = idle_since + (choose_pause(rng) if attempt and attempt.status else 0.02)
        for connection in due:
            connection.close()

    @staticmethod
    def choose_long_pause(rng):
        """Returns a pause at whose end, and that of the bytes' way to the router, the limit is just kept."""
        share = rng.choice([rng.uniform(0.0, 1.0), rng.uniform(0.98, 1.0), 1.0])
        return share * IDLE_LIMIT_SECONDS - MAX_TRANSIT_SECONDS

    def send_request(self, kind, connection, key, rng):
        if kind == "disconnect":
            fleet.start_stream_and_disconnect(connection.ip, self.observed.record_request("stream", "k1"),
                                              rng.random() * 0.1)
            return None
        connection.prepare(IDLE_LIMIT_SECONDS)
        time.sleep(rng.uniform(0, MAX_TRANSIT_SECONDS))
        if kind == "stream":
            request_id = self.observed.record_request("stream", "k1")
            attempt = connection.send_stream(request_id.encode(), request_id)
            events = fleet.event_ids(attempt.body)
            is_expected_stream = attempt.status != 200 or events == EXPECTED_EVENT_IDS
            self.observed.record_attempt(request_id, connection.ip, attempt,
                                         None if is_expected_stream else f"stream of {events}")
            return attempt
        request_id = self.observed.record_request(kind, key)
        method, body = ("POST", request_id.encode()) if kind == "write" else ("GET", b"")
        path = f"/{kind}/{request_id}"
        attempt = connection.send(method, path, body, key, request_id)
        expected = f"{method} {path} {body.decode()}"
        is_expected_response = attempt.status != 200 or (attempt.body == expected and fleet.is_sealed(attempt.headers))
        self.observed.record_attempt(request_id, connection.ip, attempt,
                                     None if is_expected_response else f"unexpected response: {attempt.body!r}")
        return attempt

    def run(self, seconds, fault_names):
        if not all(fleet.wait_until(lambda ip=ip: fleet.is_ready(ip)) for ip in ROUTER_IPS):
            self.observed.violations.append("a router was not ready at the start")
            return
        faults = [getattr(self, name) for name in fault_names]
        callers = [threading.Thread(target=self.run_caller, args=(number, 1, lambda rng: rng.uniform(0, 0.02)))
                   for number in range(BUSY_CALLERS)]
        callers += [threading.Thread(target=self.run_caller,
                                     args=(BUSY_CALLERS + number, CONNECTIONS_OF_IDLE_CALLER, self.choose_long_pause))
                    for number in range(IDLE_CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 0.8))
            if self.random.random() < 0.3:
                self.store_copy = self.store.copy()
            self.random.choice(faults)()
        for timer in self.timers:  # grows while timers run
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
        self.judge()
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

    def judge(self):
        """Checks what became of each request, and when targets received it."""
        targets = [*self.model_targets, *self.plain_targets]
        judge = excuses.Judge(targets, self.links, self.outages, IDLE_LIMIT_SECONDS, min(TIMEOUTS_MS) / 1000)
        observations = self.observed
        for request_id, (router, attempt) in observations.attempts.items():
            kind = observations.sent[request_id][0]
            if attempt.status == 0:
                excuse = judge.excuse(kind, request_id, router, attempt)
                self.excuses[excuse or "NONE"] += 1
                if not excuse:
                    observations.violations.append(
                        judge.describe(kind, request_id, router, attempt, self.started, self.events))
            observations.violations += judge.late_arrivals(request_id, attempt)
        for departure in self.departures:
            observations.violations += judge.arrivals_after(departure, self.store.era, self.store_faults)

    def close(self):
        for daemon in [*self.routers, *self.agents]:
            daemon.process.kill()
            daemon.process.wait()
        for stand_in in [*self.links, self.store, *self.model_targets, *self.plain_targets]:
            stand_in.stop()


def run_seed(bin_dir, seed, seconds, fault_names=tuple(FAULTS)):
    """Runs one seed; returns the violations and a summary."""
    soak = SoakSimulation(bin_dir, seed)
    try:
        soak.run(seconds, fault_names)
    finally:
        soak.is_finished = True
        soak.close()
    served = sum(status == 200 for status in soak.observed.statuses.values())
    if soak.observed.violations:
        print("\n".join([*soak.observed.violations, *soak.events]), file=sys.stderr)
        named = {word for violation in soak.observed.violations for word in violation.split() if word.startswith("id")}
        for daemon in [*soak.routers, *soak.agents]:
            log = daemon.log_text()
            lines = [line for line in log.splitlines() if any(request_id in line for request_id in named)]
            print(f"--- {daemon.ip}\n" + "\n".join(lines) + "\n...\n" + log[-4000:], file=sys.stderr)
    reused = sum(attempt.idle > 0 for _, attempt in soak.observed.attempts.values())
    summary = (f"{len(soak.observed.sent)} asked, {reused} on kept connections, {served} served, "
               f"{len(soak.events)} faults, unanswered {dict(soak.excuses)}")
    return soak.observed.violations, summary


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--faults", default=",".join(FAULTS), help="names of the faults to choose from")
    arguments = parser.parse_args()
    is_clean = True
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        violations, summary = run_seed(arguments.bin_dir, seed, arguments.seconds, arguments.faults.split(","))
        print(f"seed {seed}: {summary}; {violations[:5] or 'clean'}", flush=True)
        is_clean = is_clean and not violations
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
