"""dogwoodlatchd end to end: a real router and two real agents, with stand-ins for the store and the targets."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_1, MODEL_2, PLAIN_1, PLAIN_2 = "127.0.1.11", "127.0.1.12", "127.0.1.21", "127.0.1.22"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1", "k2"]))
    model_targets = [fleet.Target(store, MODEL_1, "m1", "model-service", "m"),
                     fleet.Target(store, MODEL_2, "m2", "model-service", "m")]
    plain_targets = [fleet.Target(store, PLAIN_1, "p1", "plain"), fleet.Target(store, PLAIN_2, "p2", "plain")]
    router = fleet.start_router(bin_dir, ROUTER)
    agents = [fleet.start_agent(bin_dir, MODEL_1), fleet.start_agent(bin_dir, MODEL_2)]
    try:
        run_checks(store, model_targets, plain_targets, router)
    finally:
        for daemon in [router, *agents]:
            daemon.process.kill()
            daemon.process.wait()


def set_behaviour(targets, behaviour):
    for target in targets:
        target.behaviour = [behaviour]


def reset_targets(targets):
    for target in targets:
        target.behaviour = []
        target.ran = []


def run_checks(store, model_targets, plain_targets, router):
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    # Until then the router assumes that it shares the retry budget with many others.
    print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER)))
    status, headers, body = fleet.request(ROUTER, "/read/x?q=1", headers=fleet.FORGED_WORKSPACE)
    print("read", status, fleet.seal_of(headers).startswith("seal-p"), body)
    forwarded_headers = [headers for plain in plain_targets for headers in plain.seen_headers][0]
    print("workspace", fleet.workspace_of(forwarded_headers), "key passed on", fleet.has_key(forwarded_headers))
    print("write", fleet.request(ROUTER, "/write/x", "POST", b"body")[2])
    print("stream", fleet.stream(ROUTER))
    print("unknown key", fleet.request(ROUTER, "/read/x", key="k9")[0])
    print("unknown route", fleet.request(ROUTER, "/none/x")[0])
    print("open", fleet.request(ROUTER, "/open/x", key=None)[0])

    reset_targets(model_targets)
    model_targets[0].behaviour = model_targets[1].behaviour = ["broken"]  # the router may choose either first
    status, ids = fleet.stream(ROUTER)
    print("stream resumed", status, ids, "runs", sum(len(model.ran) for model in model_targets))
    reset_targets(model_targets)

    # The stream breaks midway and every target refuses to resume it: the stream ends early, and the router must not
    # send a second response on the connection.
    model_targets[0].behaviour = model_targets[1].behaviour = ["broken", "full", "full"]
    received = fleet.raw_stream(ROUTER)
    print("stream nobody finishes", received.count("id: "), "events", received.count("HTTP/1.1"), "head, complete",
          received.endswith("0\r\n\r\n"))
    reset_targets(model_targets)

    reset_targets(plain_targets)
    set_behaviour(plain_targets, "lost")
    print("write lost", fleet.request(ROUTER, "/write/x", "POST", b"1")[0], "runs",
          sum(len(plain.ran) for plain in plain_targets))
    reset_targets(plain_targets)
    set_behaviour(plain_targets, "full")
    status, headers, _ = fleet.request(ROUTER, "/write/x", "POST", b"1")
    print("write refused", status, "come back", float(headers.get("Retry-After", 0)) > 0, "runs",
          sum(len(plain.ran) for plain in plain_targets))
    reset_targets(plain_targets)
    # Every target answers with an error: the caller gets the last target's own answer.
    set_behaviour(plain_targets, "failing")
    status, headers, _ = fleet.request(ROUTER, "/read/x")
    print("read fails everywhere", status, "sealed", fleet.is_sealed(headers))
    reset_targets(plain_targets)
    plain_targets[0].behaviour = plain_targets[1].behaviour = ["full"]
    print("write refused once", fleet.request(ROUTER, "/write/x", "POST", b"1")[0])
    reset_targets(plain_targets)
    set_behaviour(plain_targets, "unsealed")
    print("unsealed", fleet.request(ROUTER, "/write/x", "POST", b"1")[0])
    reset_targets(plain_targets)
    set_behaviour(plain_targets, "doubled")
    print("doubled", [fleet.request(ROUTER, "/write/x", "POST", b"1")[2] for _ in range(3)])
    reset_targets(plain_targets)

    plain_targets[0].drain()
    print("draining gets nothing", fleet.wait_until(
        lambda: all(fleet.request(ROUTER, "/read/x")[0] == 200 for _ in range(6)) and not plain_targets[0].ran
        or plain_targets[0].ran.clear()))

    store.put("versions", "m", {"model": "m", "version": 2})
    print("weights", fleet.wait_until(lambda: [model.version for model in model_targets] == [2, 2]))
    print("stream on new weights", fleet.wait_until(lambda: fleet.stream(ROUTER)[0] == 200))

    store.put("config", "main", fleet.configuration(5, ["k1"]))
    print("key taken away", fleet.wait_until(lambda: fleet.request(ROUTER, "/read/x", key="k2")[0] == 401))
    store.put("config", "main", fleet.configuration(3, ["k1", "k2"]))
    print("older configuration", fleet.request(ROUTER, "/read/x", key="k2")[0])

    store.is_refusing = True
    print("store refuses, at first", fleet.request(ROUTER, "/read/x")[0])
    print("store refuses, at length", fleet.wait_until(lambda: fleet.request(ROUTER, "/read/x")[0] == 503))
    print("open route then", fleet.request(ROUTER, "/open/x", key=None)[0], "ready", fleet.is_ready(ROUTER))
    store.is_refusing = False
    print("store is back", fleet.wait_until(lambda: fleet.request(ROUTER, "/read/x")[0] == 200))

    caller = fleet.send_partial_request(ROUTER)
    router.terminate()
    print("not ready", fleet.wait_until(lambda: not fleet.is_ready(ROUTER), 1))
    print("served while stopping", fleet.request(ROUTER, "/read/x")[0])
    print("exit code", router.wait(9))
    caller.close()
    log = router.log_text()
    print("logged", [name for name in ("E100", "E200", "E201", "E212", "E400", "E401", "E403", "E101", "E102")
                     if name not in log])
