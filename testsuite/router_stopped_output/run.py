"""A response that its caller has not yet received in full when the router is stopped."""

import http.client
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTER = "127.0.1.2"
BODY_BYTES = 7 << 20


def run(bin_dir):
    store = fleet.Store()
    configuration = fleet.configuration(1, ["k1"])
    configuration["limits"]["max_body_bytes"] = 8 << 20
    store.put("config", "main", configuration)
    target = fleet.Target(store, "127.0.1.13", "p0", "plain")
    router = fleet.start_router(bin_dir, ROUTER)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTER)))
        check_unsent_response(router, target)
    finally:
        if os.environ.get("SHOW_LOG"):
            sys.stderr.write(router.log_text())
        router.process.kill()
        router.process.wait()


# Guards against a router that ends while part of a response that it has accepted from a target is unsent.
def check_unsent_response(router, target):
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    caller.settimeout(8)
    caller.connect((ROUTER, fleet.FRONTEND_PORT))
    router.terminate()
    time.sleep(1.8)
    caller.sendall(fleet.open_request_head("slow-reader").replace("/open/x", "/read/x").encode() +
                   f"X-Api-Key: k1\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode() + b"x" * BODY_BYTES)
    print("target ran it", fleet.wait_until(lambda: target.ran))
    time.sleep(1.4)
    response = http.client.HTTPResponse(caller)
    try:
        response.begin()
        received = len(response.read())
        print("status", response.status, "whole", received > BODY_BYTES)
    except (OSError, http.client.HTTPException) as error:
        print("cut:", type(error).__name__)
