"""The readiness and metrics ports meet the crowds that the front end meets, and requests whose answers nobody reads.

Guards against ports that have no bounds of their own: requests of 40 bytes were answered with kilobytes of metrics
as long as a client sent them.
"""

import hostile
from hostile import fleet


def run(bin_dir):
    site = hostile.Site(bin_dir)
    unread = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * 8000
    for name, port in (("readiness", fleet.READY_PORT), ("metrics", fleet.METRICS_PORT)):
        site.attack(f"{name}, short lines", [hostile.head_of(b"a:b\r\n", f"p{number}", False)
                                             for number in range(hostile.CLIENTS)], port, seconds=2.0)
        site.attack(f"{name}, bodies", [hostile.body_of("p-body", None, True)] * 40, port, seconds=2.0)
        site.attack(f"{name}, silent", [b""] * 900, port, seconds=2.0)
        site.attack(f"{name}, unread answers", [unread] * hostile.CLIENTS, port, seconds=4.0, receive_buffer=4096)
