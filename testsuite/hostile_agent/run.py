"""The probe port of an agent meets many heads, bodies and silent connections.

Guards against an agent that holds what clients send to it; afterwards it still brings its target to new weights.
"""

import hostile
from hostile import fleet


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", hostile.configuration())
    fleet.Target(store, hostile.PLAIN, "p1", "plain")
    model = fleet.Target(store, hostile.MODEL, "m1", "model-service", "m")
    router = fleet.start_router(bin_dir, hostile.ROUTER, *hostile.LIMITS)
    agent = fleet.Daemon(bin_dir, "agent", hostile.MODEL, [f"app={hostile.MODEL}:{fleet.TARGET_PORT}", *hostile.LIMITS])
    port = int(fleet.INTERNAL_PORTS.split(",", maxsplit=1)[0])
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(hostile.ROUTER)),
              fleet.wait_until(lambda: model.store.calls > 0))
        hostile.attack("short lines", agent, port, [hostile.head_of(b"a:b\r\n", f"a{number}", False)
                                                    for number in range(hostile.CLIENTS)], seconds=2.0)
        hostile.attack("bodies", agent, port, [hostile.body_of("a-body", None, True)] * 40, seconds=2.0)
        hostile.attack("silent", agent, port, [b""] * 900, seconds=2.0)
        store.put("versions", "m", {"model": "m", "version": 2})
        print("weights", fleet.wait_until(lambda: model.version == 2), "stream", fleet.stream(hostile.ROUTER)[0])
    finally:
        for daemon in (router, agent):
            daemon.process.kill()
            daemon.process.wait()
