"""Many short lines and large bodies at once, from clients that leave and come back.

Guards against memory and descriptors that are not returned, and against one kind that uses up what bounds the other.
"""

import hostile
from hostile import fleet

ROUNDS = 4
HEADS, BODIES = 220, 40


def run(bin_dir):
    hostile.Site(bin_dir)
    router = fleet.start_router(bin_dir, hostile.ROUTER, *hostile.LIMITS)
    body = hostile.body_of("m-body", "k1", True)
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(hostile.ROUTER)))
        for turn in range(ROUNDS):
            heads = [hostile.head_of((b"a:b\r\n", b"Cookie: a=b\r\n")[number % 2], f"m{number}", number % 3 == 0)
                     for number in range(HEADS)]
            hostile.attack(f"round {turn + 1}", router, fleet.FRONTEND_PORT, heads + [body] * BODIES, seconds=2.0)
        hostile.report_served()
    finally:
        router.process.kill()
        router.process.wait()
