"""An agent takes over a target that compares no fences after the coordinator has ordered and was killed.

Guards against the review's case 8: the agent ordered with a lower fence than the coordinator, as the routers that could
have told it were gone.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER, MODEL = "127.0.1.2", "127.0.1.11"
SETTINGS = ("bounds.fencing_enforced=false", "bounds.lease_ms=1000")


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    store.put("versions", "m", {"model": "m", "version": 1})
    target = fleet.Target(store, MODEL, "m1", "model-service", "m")
    target.compares_fences = False
    target.unanswered_orders = 1
    router = fleet.start_router(bin_dir, ROUTER, *SETTINGS)
    print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
    store.put("versions", "m", {"model": "m", "version": 2})
    print("the coordinator orders:", fleet.wait_until(lambda: target.order_fences, 20))
    router.process.kill()
    router.process.wait()
    router.start()
    agents = [fleet.start_agent(bin_dir, MODEL, *SETTINGS)]
    try:
        print("the agent's order is carried out:", fleet.wait_until(lambda: target.version == 2, 20))
        agents[0].process.kill()
        agents[0].process.wait()
        store.put("versions", "m", {"model": "m", "version": 3})
        agents.append(fleet.start_agent(bin_dir, MODEL, *SETTINGS))
        print("so is one after its restart:", fleet.wait_until(lambda: target.version == 3, 20))
        fences = target.order_fences
        print("orders:", len(fences), "in the order of their fences:", fences == sorted(set(fences)))
        print("logged:", all(" E334 " in agent.log_text() for agent in agents))
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write("".join(daemon.log_text() for daemon in [router, *agents]))
        router.process.kill()
        router.process.wait()
        agents[-1].process.kill()
        agents[-1].process.wait()
