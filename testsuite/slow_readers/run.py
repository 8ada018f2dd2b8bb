"""Callers that send many requests on a connection and read none of the answers.

Guards against answers that a router buffers without a bound for callers that read slowly.
"""

import hostile
from hostile import fleet

CLIENTS, REQUESTS, ECHOED_BYTES = 30, 120, 60000


def run(bin_dir):
    site = hostile.Site(bin_dir)
    fields = fleet.request_headers("k1", {}, "slow")
    lines = ["POST /write/x HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items()),
             f"Content-Length: {ECHOED_BYTES}"]
    payload = ("\r\n".join(lines).encode() + b"\r\n\r\n" + b"e" * ECHOED_BYTES) * REQUESTS
    site.attack("unread answers", [payload] * CLIENTS, seconds=10.0, receive_buffer=4096)
