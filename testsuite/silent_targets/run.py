"""Streams whose target falls silent in mid-stream and goes on; the other target may be unable to take them."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
ALL_EVENTS = [str(event) for event in range(1, 9)]


class Play:
    """Two targets that give the runs of a stream the given behaviours, in order."""

    def __init__(self, store):
        self.behaviours = []
        self.targets = [fleet.Target(store, ip, f"m{number}", "model-service", "m", choose=self.choose)
                        for number, ip in enumerate(TARGETS)]

    def choose(self):
        return self.behaviours.pop(0) if self.behaviours else "good"

    def arrivals(self):
        return sum(len(target.arrivals) for target in self.targets)

    def stream(self, behaviours):
        self.behaviours = list(behaviours)
        before = self.arrivals()
        started = time.monotonic()
        status, events = fleet.stream(ROUTER)
        return status, events == ALL_EVENTS, self.arrivals() - before, time.monotonic() - started


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    play = Play(store)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_pauses(play)
        check_second_target(play)
        check_unreachable_target(play)
    finally:
        router.process.kill()
        router.process.wait()


def check_pauses(play):
    # A short pause is waited for; after a longer one the stream goes on where the other target takes it up.
    for pause in ("0.5", "0.8", "1.2", "2"):
        status, is_whole, _, took = play.stream([f"silent {pause}"])
        print(f"silent for {pause} s: status {status} whole {is_whole} in time {took < 2}")


# Guards against streams that were broken off for a target's silence, although the target went on.
def check_second_target(play):
    # The other target turns the stream away, breaks it off or falls silent too; the first one goes on.
    for second in ("full", "busy 1", "lost", "reset", "unsealed", "mute"):
        status, is_whole, _, took = play.stream(["silent 1.4", second, second])
        print(f"second target {second}: status {status} whole {is_whole} in time {took < 2.9}")
        time.sleep(1.1)
    # The other target turns it away once the first one has been left: the first one gets it again.
    status, is_whole, arrivals, _ = play.stream(["silent 2", "full after 0.6"])
    print(f"second target full later: status {status} whole {is_whole} arrivals {arrivals}")
    time.sleep(1.1)


def check_unreachable_target(play):
    # The other target refuses connections.
    time.sleep(3.2)  # until no idle connection is left

    def stop_the_other():
        first, second = play.targets
        (second if first.arrivals and first.arrivals[-1][0] > started else first).stop()
        return "silent 1.4"

    started = time.monotonic()
    play.choose = lambda: play.behaviours.pop(0)() if play.behaviours else "good"
    for target in play.targets:
        target.choose = play.choose
    status, is_whole, arrivals, _ = play.stream([stop_the_other])
    print(f"no other target: status {status} whole {is_whole} arrivals {arrivals}")
