"""Routers of two failure domains hear one another and an agent through forwarders, and the loss of one is noticed.

Guards against routers that hear only their own domain: they would elect a coordinator for agents that run, and share the
retry budget with too few.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

NEAR = ["127.0.1.2", "127.0.1.3"]
FAR = ["127.0.1.4", "127.0.1.5", "127.0.1.6"]
MODEL = "127.0.1.11"
SETTLE_SECONDS = 8  # longer than the time after which an agent that is not heard counts as absent


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    fleet.Target(store, MODEL, "m1", "model-service", "m")
    daemons = {ip: fleet.start_router(bin_dir, ip, fleet.in_failure_domain("a")) for ip in NEAR}
    daemons |= {ip: fleet.start_router(bin_dir, ip, fleet.in_failure_domain("b")) for ip in FAR}
    daemons[MODEL] = fleet.start_agent(bin_dir, MODEL)
    try:
        check(daemons)
    finally:
        for daemon in daemons.values():
            daemon.process.kill()
            daemon.process.wait()


def all_know(routers, count):
    return fleet.wait_until(lambda: all(fleet.metric(ip, "dogwoodlatch_routers_known") == count for ip in routers), 15)


def check(daemons):
    routers = NEAR + FAR
    print("ready", fleet.wait_until(lambda: all(fleet.is_ready(ip) for ip in routers)))
    print("all know five routers", all_know(routers, 5))
    time.sleep(SETTLE_SECONDS)
    print("coordinators", sum(fleet.metric(ip, "dogwoodlatch_coordinator") for ip in routers))
    print("bad datagrams", sum(fleet.metric(ip, "dogwoodlatch_bad_datagrams_total") or 0 for ip in routers))
    print("not forwarded", sum(fleet.metric(ip, "dogwoodlatch_control_not_forwarded") for ip in routers))
    print("all forward", all(fleet.metric(ip, "dogwoodlatch_control_bytes_total", 'kind="forwarded",domain="own"') > 0
                             for ip in routers))
    daemons[FAR[0]].process.kill()
    print("the others know four", all_know(NEAR + FAR[1:], 4))
    print("served", fleet.stream(NEAR[0])[0], fleet.stream(FAR[1])[0])
