"""Measures a router of the smallest size under crowds of hostile clients; not a test of CI.

Prints, for each kind and size of the crowd, the peak memory, the descriptors, and the status of an ordinary request and
of a request with the largest legal body that are sent while the crowd holds on.
"""

import argparse
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

import hostile  # noqa: E402  pylint: disable=wrong-import-position
from hostile import fleet  # noqa: E402  pylint: disable=wrong-import-position

LIMITS = ("limits.memory_mb=120", "limits.max_fds=3075")
SEND_SECONDS = 6.0
MAX_TRIES = 4


def payloads(kind, count):
    if kind == "bodies":
        return [hostile.body_of("c-body", "k1", True)] * count
    if kind == "bodies, no key":
        return [hostile.body_of("c-body", None, True)] * count
    if kind == "silent":
        return [b""] * count
    if kind == "mixed":
        body = hostile.body_of("c-body", "k1", False)
        return [body if number % 4 == 0 else hostile.head_of(b"a:b\r\n", f"c{number}", number % 2 == 0)
                for number in range(count)]
    line = {"short lines": b"a:b\r\n", "no value": b"a:\r\n", "cookies": b"Cookie: a=b\r\n"}[kind]
    return [hostile.head_of(line, f"c{number}", number % 2 == 0) for number in range(count)]


def send_large():
    """Returns the statuses of a large request that is sent again after each refusal, as its Retry-After asks."""
    statuses = []
    while len(statuses) < MAX_TRIES:
        status, headers, _ = fleet.request(hostile.ROUTER, "/write/x", "POST", b"l" * hostile.BODY_BYTES)
        statuses.append(status)
        if "Retry-After" not in headers:
            break
        time.sleep(float(headers["Retry-After"]))
    return statuses


def measure(bin_dir, kind, count):
    router = fleet.start_router(bin_dir, hostile.ROUTER, *LIMITS)
    crowd = hostile.Crowd(hostile.ROUTER, fleet.FRONTEND_PORT)
    try:
        fleet.wait_until(lambda: fleet.is_ready(hostile.ROUTER))
        crowd.join(payloads(kind, count))
        crowd.send(SEND_SECONDS)
        time.sleep(0.5)
        ordinary = fleet.request(hostile.ROUTER, "/read/x")[0]
        large = send_large()
        print(f"{kind}, {count} connections: peak {router.peak_memory_mb():.1f} MB, "
              f"{hostile.count_descriptors(router)} descriptors, ordinary {ordinary}, large {large}", flush=True)
    finally:
        crowd.leave()
        router.process.kill()
        router.process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin-dir", required=True)
    parser.add_argument("--connections", type=int, nargs="+", default=[300, 1500])
    parser.add_argument("--kinds", nargs="+", default=["short lines", "no value", "cookies", "bodies", "bodies, no key",
                                                       "mixed", "silent"])
    arguments = parser.parse_args()
    store = fleet.Store()
    store.put("config", "main", hostile.configuration(timeout_ms=8000))
    fleet.Target(store, hostile.PLAIN, "p1", "plain")
    fleet.Target(store, hostile.MODEL, "m1", "model-service", "m")
    for count in arguments.connections:
        for kind in arguments.kinds:
            measure(arguments.bin_dir, kind, count)


if __name__ == "__main__":
    main()
