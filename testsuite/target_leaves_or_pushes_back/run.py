"""Targets that say that they leave, or that they want no requests for a time."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
PLAIN = ["127.0.1.21", "127.0.1.22"]


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration(1, ["k1"]))
    plain = [fleet.Target(store, ip, f"p{number}", "plain") for number, ip in enumerate(PLAIN)]
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        print("knows its share of retries", fleet.wait_until(lambda: fleet.knows_routers(ROUTER), 20))
        check_pushback(plain)
        check_leaving(plain)
    finally:
        router.process.kill()
        router.process.wait()


def send(count):
    return [fleet.request(ROUTER, "/read/x") for _ in range(count)]


def arrivals_between(target, first, last):
    return sum(first <= at < last for at, _ in target.arrivals)


def check_pushback(plain):
    # One target pushes back: the other one serves, also the request that was refused.
    plain[0].behaviour = ["busy 1.5"]
    fleet.wait_until(lambda: send(1) and not plain[0].behaviour)
    refused_at = plain[0].arrivals[-1][0]
    statuses = {answer[0] for answer in send(60)}
    while time.monotonic() < refused_at + 1.45:
        statuses.add(send(1)[0][0])
    print("served", sorted(statuses), "arrivals", arrivals_between(plain[0], refused_at + 0.001, refused_at + 1.45))
    print("used again", fleet.wait_until(lambda: send(1) and arrivals_between(
        plain[0], refused_at + 1.5, refused_at + 60) > 0))

    # Both push back: refused at once, with the time after which the first takes requests again.
    plain[0].behaviour, plain[1].behaviour = ["busy 2"], ["busy 1.25"]
    status, headers, _ = send(1)[0]
    started = time.monotonic()
    status_again, headers_again, _ = send(1)[0]
    took = time.monotonic() - started
    print("all push back", status, status_again, "at once", took < 0.2,
          "honest", 1.0 <= float(headers["Retry-After"]) <= 1.7, float(headers_again["Retry-After"]) >= 0.9)
    time.sleep(float(headers_again["Retry-After"]))
    print("then", send(1)[0][0])

    # A value that is no number of seconds is no promise, and a very long one is bounded.
    for value in ("soon", "-3", "1e9"):
        plain[0].behaviour = plain[1].behaviour = [f"busy {value}"]
        send(2)
        print(f"Retry-After {value}", fleet.wait_until(lambda: send(1)[0][0] == 200, 2))
    time.sleep(2.1)


def check_leaving(plain):
    plain[0].leaves = True
    before = len(plain[0].arrivals)
    print("last answer", fleet.wait_until(lambda: send(1) and len(plain[0].arrivals) > before))
    count = len(plain[0].arrivals)
    statuses = {answer[0] for answer in send(40)}
    print("leaving", sorted(statuses), "further arrivals", len(plain[0].arrivals) - count)
    plain[1].leaves = True
    send(1)
    started = time.monotonic()
    status, headers, _ = send(1)[0]
    print("all leave", status, "at once", time.monotonic() - started < 0.2, "come back",
          float(headers["Retry-After"]) > 0)
    # Another start at the same address is another target.
    plain[0].replace("p9")
    print("new target", fleet.wait_until(lambda: send(1)[0][0] == 200))
