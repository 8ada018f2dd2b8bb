"""A target writes an earlier refusal once more on a kept connection; callers repeat refused requests under the same id."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
TARGETS = ["127.0.1.11", "127.0.1.12"]
ROUNDS = 5


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    play = fleet.PlannedRuns(store, "plain", None, TARGETS)
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        for behaviour in ("last answer first", "last answer after"):
            check(play, behaviour)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against requests that a target has run and that are refused, or run at a second target, because the target's
# earlier refusal of the same request came once more.
def check(play, behaviour):
    statuses = []
    runs_of = []
    for _ in range(ROUNDS):
        identity = fleet.new_request_id()
        play.planned = [(0, "full"), (0, "full")]
        refused, _, _ = fleet.request(ROUTER, "/write/x", "POST", b"b", identity=identity)
        assert refused == 503, refused
        play.planned = []
        if behaviour == "last answer after":
            # The refusal follows the answer to another request on the same connection.
            play.planned = [(0, behaviour), (0, behaviour)]
            for _ in range(2):
                statuses.append(fleet.request(ROUTER, "/write/x", "POST", b"b")[0])
        else:
            play.planned = [(0, behaviour), (0, behaviour)]
        statuses.append(fleet.request(ROUTER, "/write/x", "POST", b"b", identity=identity)[0])
        runs_of.append(sum(target.ran.count(identity) for target in play.targets))
    print(f"{behaviour}: served {statuses.count(200)} of {len(statuses)}, runs of each repeated request {runs_of}")
