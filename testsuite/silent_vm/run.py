"""Streams at a target whose VM stands still; another target is sound."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
ALL_EVENTS = [str(event) for event in range(1, 9)]
FREEZE = 6.0
OBJECTIVE = 1.0  # of the route with one attempt
CALLER_WAIT = 4 * OBJECTIVE  # its callers leave a stream after this time without an event
AT_ONCE = 0.5


class Play:
    """Two targets. The runs of one whose VM stands still fall silent in mid-stream."""

    def __init__(self, store):
        self.frozen = None  # the target whose VM stands still
        self.next_run = "good"  # behaviour of the next run
        self.targets = [fleet.Target(store, ip, f"m{number}", "model-service", "m") for number, ip in enumerate(TARGETS)]
        for target in self.targets:
            target.choose = lambda target=target: self.choose(target)

    def choose(self, target):
        if target is self.frozen:
            return f"silent {FREEZE}"
        behaviour, self.next_run = self.next_run, "good"
        return behaviour

    def freeze_target_of(self, route, for_s):
        """Starts a stream and stops the VM of its target in the middle; returns the caller's attempt and its thread."""
        before = [len(target.ran) for target in self.targets]
        self.next_run = f"silent {for_s}"
        attempt = {}

        def call():
            started = time.monotonic()
            status, _, body = fleet.request(ROUTER, f"/{route}/x", "POST", b"prompt",
                                            headers={**fleet.PROMPT_HEADERS, **fleet.LATER_DEADLINE})
            attempt.update(status=status, events=fleet.event_ids(body), took=time.monotonic() - started)

        caller = threading.Thread(target=call)
        caller.start()
        fleet.wait_until(lambda: [len(target.ran) for target in self.targets] != before)
        self.frozen = next(target for target, count in zip(self.targets, before) if len(target.ran) != count)
        return attempt, caller


def configuration():
    content = fleet.configuration(1, ["k1"], timeout_ms=6000)
    fleet.add_single_attempt_route(content, "single", OBJECTIVE)
    return content


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", configuration())
    play = Play(store)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        let_vms_answer(play)
        check_single_attempt(play)
        check_new_requests(play)
        check_resumable(play)
        check_paused_target(play)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


def let_vms_answer(play):
    """Has a stream at each target, long enough for the router to find that its VM answers."""
    def is_used():
        play.next_run = "silent 0.2"
        fleet.stream(ROUTER, fleet.prompt_about(len(play.targets[0].ran) + len(play.targets[1].ran) + 16))
        return all(target.ran for target in play.targets)

    print("both targets used", fleet.wait_until(is_used, 20))


# Guards against callers that leave a stream for want of an answer although the router could tell them that there will be
# none: their target's VM stands still, and the stream has no other attempt.
def check_single_attempt(play):
    attempt, caller = play.freeze_target_of("single", FREEZE)
    with fleet.silent_vm(play.frozen.address[0]):
        caller.join()
        time.sleep(0.1)
    play.frozen = None
    print("stream with one attempt: whole", attempt["events"] == ALL_EVENTS, "ended before its caller leaves",
          attempt["took"] < CALLER_WAIT - AT_ONCE / 2)


# Guards against requests that are sent to a VM that stands still once the runs that it had have ended.
def check_new_requests(play):
    attempt, caller = play.freeze_target_of("single", FREEZE)
    with fleet.silent_vm(play.frozen.address[0]):
        caller.join()
        frozen_before = len(play.frozen.arrivals)
        answers = [fleet.stream(ROUTER, fleet.prompt_about(subject + 64)) for subject in range(16)]
        print("arrivals at the silent VM:", len(play.frozen.arrivals) - frozen_before)
    target, play.frozen = play.frozen, None
    print("new streams whole:", sum(events == ALL_EVENTS for _, events in answers), "of", len(answers))
    before = len(target.ran)

    def is_used_again():
        fleet.stream(ROUTER, fleet.prompt_about(len(target.ran) + int(time.monotonic() * 1000) % 4096 + 256))
        return len(target.ran) > before

    print("used again after it goes on", fleet.wait_until(is_used_again))
    assert attempt


# Guards against a move to a sound target that comes so late that the caller has left.
def check_resumable(play):
    attempt, caller = play.freeze_target_of("stream", FREEZE)
    with fleet.silent_vm(play.frozen.address[0]):
        caller.join()
    play.frozen = None
    print("stream that may be resumed: whole", attempt["events"] == ALL_EVENTS, "within a second",
          attempt["took"] < 2 * AT_ONCE)


# A target that pauses while its VM answers keeps its stream.
def check_paused_target(play):
    attempt, caller = play.freeze_target_of("single", 1.2)
    caller.join()
    play.frozen = None
    print("paused target: whole", attempt["events"] == ALL_EVENTS)
