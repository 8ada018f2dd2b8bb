"""Streams whose silent target goes on after another target was sent the request, which fails only later."""

import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12", "127.0.1.13"]


class Play:
    """Gives the runs of a stream, in order, a delay before the answer and a behaviour."""

    def __init__(self, store):
        self.pending = []
        self.targets = [fleet.Target(store, ip, f"m{number}", "model-service", "m", choose=self.choose)
                        for number, ip in enumerate(TARGETS)]

    def choose(self):
        delay, behaviour = self.pending.pop(0) if self.pending else (0, "good")
        time.sleep(delay)
        return behaviour

    def stream(self, pending):
        self.pending = list(pending)
        status, events = fleet.stream(ROUTER)
        time.sleep(1.2)
        return f"status {status} events {len(events)}"


def run(bin_dir):
    store = fleet.Store()
    configuration = fleet.configuration(1, ["k1"])
    for route in configuration["routes"]:
        route["attempts"] = 2
    store.put("config", "main", configuration)
    play = Play(store)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_second_fails_late(play)
        check_overlap(play, store, configuration, router)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a stream that is broken off because its second target fails, though the silent one went on.
def check_second_fails_late(play):
    print("second breaks off after 0.4 s:", play.stream([(0, "silent 1.6"), (0.4, "lost")]))
    print("refused, silent, refused after 0.6 s:", play.stream([(0, "full"), (0, "silent 1.9"), (0.6, "full")]))


# Guards against a silent target that still has the request 0.4 s after another one has begun to run it.
def check_overlap(play, store, configuration, router):
    for route in configuration["routes"]:
        route["attempts"] = 3
    store.put("config", "main", {**configuration, "version": 2})
    time.sleep(1)
    print("second breaks off after 0.28 s:", play.stream([(0, "silent 2.5"), (0.28, "lost"), (0.25, "good")]))

    def seconds(pattern):
        hour, minute, second = re.findall(rf"T(\d+):(\d+):([\d.]+) .*{pattern}", router.log_text())[-1]
        return int(hour) * 3600 + int(minute) * 60 + float(second)

    print("silent target was left in time", seconds("why=silent") - seconds("E401 .* send=2") <= 0.4)
