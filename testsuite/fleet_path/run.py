"""The daemon of the platform through real processes: a router, an agent, and stand-ins of the rest."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
MODEL_1, MODEL_2, PLAIN_1, PLAIN_2 = "127.0.1.11", "127.0.1.12", "127.0.1.21", "127.0.1.22"


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1", "k2"]))
    models = [fleet.Target(store, MODEL_1, "m1", "model-service", "m"),
              fleet.Target(store, MODEL_2, "m2", "model-service", "m")]
    plains = [fleet.Target(store, PLAIN_1, "p1", "plain"), fleet.Target(store, PLAIN_2, "p2", "plain")]
    router = fleet.start_router(bin_dir, ROUTER)
    agents = [fleet.start_agent(bin_dir, MODEL_1), fleet.start_agent(bin_dir, MODEL_2)]
    try:
        play(store, models, plains, router)
    finally:
        for daemon in [router, *agents]:
            daemon.process.kill()
            daemon.process.wait()


def both(targets, behaviour):
    for target in targets:
        target.behaviour = [behaviour]


def clear(targets):
    for target in targets:
        target.behaviour = []
        target.ran = []


def play(store, models, plains, router):
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    status, headers, body = fleet.request(ROUTER, "/read/x?q=1", headers=fleet.FORGED_WORKSPACE)
    print("read", status, fleet.seal_of(headers).startswith("seal-p"), body)
    seen = [headers for plain in plains for headers in plain.seen_headers][0]
    print("workspace", fleet.workspace_of(seen), "key passed on", fleet.has_key(seen))
    print("write", fleet.request(ROUTER, "/write/x", "POST", b"body")[2])
    print("stream", fleet.stream(ROUTER))
    print("unknown key", fleet.request(ROUTER, "/read/x", key="k9")[0])
    print("unknown route", fleet.request(ROUTER, "/none/x")[0])
    print("open", fleet.request(ROUTER, "/open/x", key=None)[0])

    clear(models)
    models[0].behaviour = models[1].behaviour = ["broken"]  # whichever is first
    status, ids = fleet.stream(ROUTER)
    print("stream resumed", status, ids, "runs", sum(len(model.ran) for model in models))
    clear(models)

    # The stream breaks in the middle and nobody takes the rest: it ends, and nothing else may follow in its place.
    models[0].behaviour = models[1].behaviour = ["broken", "full", "full"]
    received = fleet.raw_stream(ROUTER)
    print("stream nobody finishes", received.count("id: "), "events", received.count("HTTP/1.1"), "head, complete",
          received.endswith("0\r\n\r\n"))
    clear(models)

    clear(plains)
    both(plains, "lost")
    print("write lost", fleet.request(ROUTER, "/write/x", "POST", b"1")[0], "runs",
          sum(len(plain.ran) for plain in plains))
    clear(plains)
    both(plains, "full")
    status, headers, _ = fleet.request(ROUTER, "/write/x", "POST", b"1")
    print("write refused", status, "come back", float(headers.get("Retry-After", 0)) > 0, "runs",
          sum(len(plain.ran) for plain in plains))
    clear(plains)
    plains[0].behaviour = plains[1].behaviour = ["full"]
    print("write refused once", fleet.request(ROUTER, "/write/x", "POST", b"1")[0])
    clear(plains)
    both(plains, "unsealed")
    print("unsealed", fleet.request(ROUTER, "/write/x", "POST", b"1")[0])
    clear(plains)
    both(plains, "doubled")
    print("doubled", [fleet.request(ROUTER, "/write/x", "POST", b"1")[2] for _ in range(3)])
    clear(plains)

    plains[0].drain()
    print("draining gets nothing", fleet.wait_until(
        lambda: all(fleet.request(ROUTER, "/read/x")[0] == 200 for _ in range(6)) and not plains[0].ran
        or plains[0].ran.clear()))

    store.put("versions", "m", {"model": "m", "version": 2})
    print("weights", fleet.wait_until(lambda: [model.version for model in models] == [2, 2]))
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
