"""Fault soak of the platform's daemon: real routers and agents, stand-ins of the rest, overlapping faults by seed.

    python3 testsuite/soak/soak.py --bin-dir build/bin --first-seed 1 --seeds 50 --seconds 8

Callers and targets note what they see, and the promises are checked from these notes alone. It prints a line for each
seed and exits with 1 if a promise was broken; the faults and the last log lines of that seed go to standard error.
"""

import argparse
import collections
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fault_proxy  # noqa: E402  pylint: disable=wrong-import-position
import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTERS = ["127.0.1.2", "127.0.1.3", "127.0.1.4"]
MODELS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]
PLAINS = ["127.0.1.21", "127.0.1.22"]
EVENTS = [str(event) for event in range(1, 9)]
MOST_RUNS = {"write": 1, "read": 2, "stream": 2}  # attempts of each route
CALLERS = 6
REVOCATION_SECONDS = 3.0
# From the caller's send to the target's note.
TRANSFER_SECONDS = 0.3
RECOVERY_SECONDS = 8.0
BEHAVIOURS = ["broken", "lost", "full", "failing", "unsealed", "extra", "mute", "reset"]


class Notes:
    """What callers saw. Targets keep their own notes of what they ran."""

    def __init__(self):
        self.lock = threading.Lock()
        self.asked = {}  # by id: (kind, key, sent at)
        self.status = {}  # by id
        self.faults = []  # broken promises, as text

    def ask(self, kind, key):
        identity = fleet.new_request_id()
        with self.lock:
            self.asked[identity] = (kind, key, time.monotonic())
        return identity

    def answered(self, identity, status, complaint):
        with self.lock:
            self.status[identity] = status
            if complaint:
                self.faults.append(f"{complaint} ({identity}, status {status})")


class World:
    def __init__(self, bin_dir, seed):
        self.random = random.Random(seed)
        self.behaviour_random = random.Random(seed + 1)
        self.spoilt = 0.0  # part of the requests that a target treats badly
        self.notes = Notes()
        self.keys = ["k1", "k2"]
        self.revoked_at = None
        self.version = 1
        self.incarnations = 0
        self.events = []
        self.started = time.monotonic()
        self.is_over = False
        self.timers = []
        # Callers of the store and of targets go through proxies, which listen at the known ports.
        self.store = fleet.Store(fleet.STORE_PORT + 1)
        addresses = [(fleet.STORE_IP, fleet.STORE_PORT), *((ip, fleet.TARGET_PORT) for ip in [*MODELS, *PLAINS])]
        self.links = [fault_proxy.FaultProxy((ip, port), (ip, port + 1)) for ip, port in addresses]
        self.store.put("config", "main", fleet.configuration(1, self.keys))
        self.models = [fleet.Target(self.store, ip, f"m{number}", "model-service", "m", self.choose,
                                    fleet.TARGET_PORT + 1)
                       for number, ip in enumerate(MODELS)]
        self.plains = [fleet.Target(self.store, ip, f"p{number}", "plain", choose=self.choose,
                                    port=fleet.TARGET_PORT + 1)
                       for number, ip in enumerate(PLAINS)]
        self.routers = [fleet.start_router(bin_dir, ip) for ip in ROUTERS]
        self.agents = [fleet.start_agent(bin_dir, ip) for ip in MODELS]

    def choose(self):
        if self.behaviour_random.random() >= self.spoilt:
            return "good"
        return self.behaviour_random.choice(BEHAVIOURS)

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.started:6.2f} {text}")

    def later(self, seconds, action):
        timer = threading.Timer(seconds, action)
        timer.start()
        self.timers.append(timer)

    # Faults. Each ends by itself.

    def kill_router(self):
        self.restart([self.random.choice(self.routers)], signal.SIGKILL)

    def stop_router(self):
        self.restart([self.random.choice(self.routers)], signal.SIGTERM)

    def kill_agent(self):
        self.restart([self.random.choice(self.agents)], signal.SIGKILL)

    def kill_all(self):
        self.restart([*self.routers, *self.agents], signal.SIGKILL)

    def restart(self, daemons, how):
        """Sends the signal to all of them, and starts them once all are gone. One that ended by itself stays down, so
        that the check at the end finds it."""
        daemons = [daemon for daemon in daemons if daemon.process.poll() is None]
        for daemon in daemons:
            self.note(f"signal {how.name} to {daemon.ip}")
            daemon.process.send_signal(how)
        for daemon in daemons:
            daemon.process.wait(15)
        for daemon in daemons:
            daemon.start()

    def freeze(self):
        daemon = self.random.choice([*self.routers, *self.agents])
        self.note(f"freeze {daemon.ip}")
        process = daemon.process
        process.send_signal(signal.SIGSTOP)
        self.later(self.random.uniform(0.2, 1.5), lambda: process.send_signal(signal.SIGCONT))

    def reload(self):
        self.random.choice(self.routers).process.send_signal(signal.SIGHUP)

    def spoil(self):
        self.spoilt = self.random.choice([0.05, 0.3, 0.8])
        self.note(f"targets spoil {self.spoilt}")
        self.later(1.5, lambda: setattr(self, "spoilt", 0.0))

    def refuse_at_store(self):
        self.note("store refuses")
        self.store.is_refusing = True
        self.later(self.random.uniform(0.3, 2.5), lambda: setattr(self.store, "is_refusing", False))

    def slow_store(self):
        self.store.delay = self.random.choice([0.2, 1.0, 3.0])
        self.note(f"store slow {self.store.delay}")
        self.later(2, lambda: setattr(self.store, "delay", 0.0))

    def stale_store(self):
        self.note("store stale")
        self.store.hides_since = self.store.revision
        self.later(1.5, lambda: setattr(self.store, "hides_since", None))

    def delay_link(self):
        self.harm_link("delay", self.random.choice([0.02, 0.2, 0.6]), 0.0)

    def hold_requests(self):
        self.harm_link("holds_requests", True, False)

    def hold_answers(self):
        self.harm_link("holds_answers", True, False)

    def silence_link(self):
        link, seconds = self.random.choice(self.links), self.random.uniform(0.3, 2.5)
        for field in ("holds_requests", "holds_answers"):
            self.harm(link, field, True, False, seconds)

    def harm_link(self, field, value, sound):
        self.harm(self.random.choice(self.links), field, value, sound, self.random.uniform(0.3, 2.5))

    def harm(self, link, field, value, sound, seconds):
        self.note(f"link to {link.upstream[0]}: {field} {value} for {seconds:.1f} s")
        setattr(link, field, value)
        self.later(seconds, lambda: setattr(link, field, sound))

    def reset_link(self):
        link = self.random.choice(self.links)
        self.note(f"link to {link.upstream[0]}: reset")
        link.reset_all()

    def replace_target(self):
        target = self.random.choice([*self.models, *self.plains])
        self.incarnations += 1
        self.note(f"replace {target.name}")
        target.replace(f"r{self.incarnations}")

    def name_weights(self):
        self.version += 1
        self.note(f"weights {self.version}")
        self.store.put("versions", "m", {"model": "m", "version": self.version})

    def revoke_key(self):
        if self.revoked_at is not None:
            return
        self.store.put("config", "main", fleet.configuration(2, self.keys[:1]))
        self.revoked_at = time.monotonic()
        self.note("k2 revoked")

    # Callers.

    def call(self, number):
        choose = random.Random(number)
        while not self.is_over:
            kind = choose.choice(["write", "write", "read", "stream", "leave"])
            self.call_once(kind, choose.choice(ROUTERS), choose.choice(["k1", "k1", "k2"]), choose.random())

    def call_once(self, kind, router, key, part):
        if kind == "leave":
            fleet.start_stream_and_disconnect(router, self.notes.ask("stream", "k1"), part * 0.1)
            return
        if kind == "stream":
            identity = self.notes.ask("stream", "k1")
            status, events = fleet.stream(router, identity=identity, body=identity.encode())
            is_whole = status != 200 or events == EVENTS
            self.notes.answered(identity, status, None if is_whole else f"stream of {events}")
            return
        identity = self.notes.ask(kind, key)
        method, body = ("POST", identity.encode()) if kind == "write" else ("GET", b"")
        path = f"/{kind}/{identity}"
        status, headers, text = fleet.request(router, path, method, body, key, identity=identity)
        expected = f"{method} {path} {body.decode()}"
        is_good = status != 200 or (text == expected and fleet.is_sealed(headers))
        self.notes.answered(identity, status, None if is_good else f"another answer: {text!r}")
        if status == 0:
            time.sleep(0.02)  # the router is away

    def play(self, seconds):
        if not all(fleet.wait_until(lambda ip=ip: fleet.is_ready(ip)) for ip in ROUTERS):
            self.notes.faults.append("not ready at the start")
            return
        faults = [self.kill_router, self.stop_router, self.kill_agent, self.freeze, self.freeze, self.reload,
                  self.spoil, self.spoil, self.refuse_at_store, self.slow_store, self.stale_store,
                  self.replace_target, self.replace_target, self.name_weights, self.revoke_key, self.kill_all,
                  self.delay_link, self.hold_requests, self.hold_answers, self.silence_link, self.reset_link]
        callers = [threading.Thread(target=self.call, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 0.8))
            self.random.choice(faults)()
        for timer in self.timers:
            timer.join()
        self.expect_recovery()
        self.is_over = True
        for caller in callers:
            caller.join()
        self.check()

    def expect_recovery(self):
        for ip in ROUTERS:
            def serves(router=ip):
                return (fleet.request(router, "/read/calm")[0] == 200 and fleet.stream(router, body=fleet.new_request_id().encode())[1] == EVENTS
                        and fleet.request(router, "/write/calm", "POST", b"1")[0] == 200)
            if not fleet.wait_until(serves, RECOVERY_SECONDS):
                self.notes.faults.append(f"{ip} does not serve again")

    def check(self):
        runs = collections.Counter()
        for target in [*self.models, *self.plains]:
            runs.update(target.ran)
        notes = self.notes
        for identity, (kind, key, sent_at) in notes.asked.items():
            status = notes.status.get(identity)
            if runs[identity] > MOST_RUNS[kind]:
                notes.faults.append(f"{kind} {identity} ran {runs[identity]} times")
            if kind == "write" and status in (429, 503) and runs[identity]:
                notes.faults.append(f"write {identity} refused with {status}, and it ran")
            if key == "k2" and self.revoked_at and runs[identity]:
                late = sent_at - self.revoked_at - REVOCATION_SECONDS
                if late > TRANSFER_SECONDS:
                    notes.faults.append(f"{identity} ran {late:.1f} s too late after its key was revoked")
        for daemon in [*self.routers, *self.agents]:
            if daemon.process.poll() is not None:
                notes.faults.append(f"{daemon.ip} ended by itself with {daemon.process.returncode}")

    def close(self):
        for daemon in [*self.routers, *self.agents]:
            daemon.process.kill()
            daemon.process.wait()
        for stand_in in [*self.links, self.store, *self.models, *self.plains]:
            stand_in.stop()


def play_seed(bin_dir, seed, seconds):
    """Plays one seed; returns the broken promises and a summary."""
    world = World(bin_dir, seed)
    try:
        world.play(seconds)
    finally:
        world.is_over = True
        world.close()
    served = sum(status == 200 for status in world.notes.status.values())
    if world.notes.faults:
        print("\n".join(world.events), file=sys.stderr)
        for daemon in [*world.routers, *world.agents]:
            print(f"--- {daemon.ip}\n" + daemon.log_text()[-4000:], file=sys.stderr)
    return world.notes.faults, f"{len(world.notes.asked)} asked, {served} served, {len(world.events)} faults"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=8)
    arguments = parser.parse_args()
    is_clean = True
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        faults, summary = play_seed(arguments.bin_dir, seed, arguments.seconds)
        print(f"seed {seed}: {summary}; {faults[:5] or 'clean'}", flush=True)
        is_clean = is_clean and not faults
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
