"""Prompts that share one part, and are otherwise all different, crash each target that begins to answer them."""

import concurrent.futures
import itertools
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTERS = ["127.0.1.2", "127.0.1.3", "127.0.1.4"]
TARGETS = [f"127.0.1.{number}" for number in range(11, 17)]
ALL_EVENTS = [str(event) for event in range(1, 9)]
SOUND_PERIOD = 0.035
BAD_PERIOD = 0.3
# After the fifth crash the routers have this long to agree; then at most MAX_LATE requests may be tried.
SETTLE_SECONDS = 3.0
MAX_LATE = 3
PHASE_SECONDS = 14.0


class Traffic:
    """Sends streams at a fixed rate to all routers in turn and records what became of them."""

    def __init__(self, executor, period, make_parts):
        self.executor = executor
        self.period = period
        self.make_parts = make_parts
        self.streams = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.send)
        self.thread.start()

    def send(self):
        routers = itertools.cycle(ROUTERS)
        next_at = time.monotonic()
        for number in itertools.count():
            if self.stopped.wait(max(0.0, next_at - time.monotonic())):
                return
            next_at += self.period
            headers = fleet.prompt_of([*self.make_parts(number), f"{1 << 30 | number:x}:200"])
            self.streams.append((time.monotonic(), self.executor.submit(
                fleet.stream, next(routers), headers=headers, body=b"prompt %d" % number)))

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def share_whole(self, since):
        results = [stream.result() for at, stream in list(self.streams) if at >= since]
        return sum(status == 200 and events == ALL_EVENTS for status, events in results) / len(results)


def run(bin_dir):
    store = fleet.Store()
    crashing_parts = set()
    targets = [fleet.CrashingTarget(store, ip, f"m{number}", "model-service", "m", crashing_parts)
               for number, ip in enumerate(TARGETS)]
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    routers = [fleet.start_router(bin_dir, ip) for ip in ROUTERS]
    try:
        print("ready", fleet.wait_until(lambda: all(fleet.is_ready(ip) for ip in ROUTERS)))
        print("routers know each other", fleet.wait_until(
            lambda: all(fleet.metric(ip, "dogwoodlatch_routers_known") == len(ROUTERS) for ip in ROUTERS), 20))
        with concurrent.futures.ThreadPoolExecutor(400) as executor:
            check(executor, targets, crashing_parts)
    finally:
        for number, router in enumerate(routers):
            if os.environ.get("SHOW_LOG"):
                with open(f"{os.environ['SHOW_LOG']}.{number}", "w", encoding="utf-8") as file:
                    file.write(router.log_text())
            router.process.kill()
            router.process.wait()


def check(executor, targets, crashing_parts):
    draw = random.Random(7)
    sound = Traffic(executor, SOUND_PERIOD, lambda number: ["a1:300", f"{0xb0 + draw.randrange(8):x}:700"])
    time.sleep(3)
    check_part("a second part", targets, crashing_parts, "bad2", sound,
               Traffic(executor, BAD_PERIOD, lambda number: ["a1:300", "bad2:500"]))
    check_part("a first part", targets, crashing_parts, "bad1", sound,
               Traffic(executor, BAD_PERIOD, lambda number: ["bad1:300", f"{0xb0 + number % 8:x}:700"]))
    sound.stop()


# Guards against requests with a part that crashes targets being sent to one target after another, as no router
# compares requests that are not alike.
def check_part(name, targets, crashing_parts, part, sound, bad):
    started = time.monotonic()
    crashing_parts.add(part)
    time.sleep(PHASE_SECONDS)
    bad.stop()
    crashes = sorted(at for target in targets for at in target.crashes if at >= started)
    print(f"{name}: it has crashed targets", len(crashes) >= 4)
    fifth = crashes[min(4, len(crashes) - 1)]
    late = sum(at > fifth + SETTLE_SECONDS for target in targets for at in target.crashing_runs)
    share_whole = sound.share_whole(fifth + 2 * SETTLE_SECONDS)
    print(f"{name}: {len(crashes)} crashes, {late} late, {share_whole:.3f} of the others whole", file=sys.stderr)
    print(f"{name}: sent on after the fifth crash, at most {MAX_LATE} times", late <= MAX_LATE)
    print(f"{name}: others are served meanwhile", share_whole > 0.9)
    crashing_parts.discard(part)
