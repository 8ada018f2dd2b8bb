"""Heads of legal size made of very many short lines.

Guards against running out of memory: a header line of four bytes took 64 when parsed, so that 300 clients with heads
just under the limit held more than the smallest VM has.
"""

import hostile


def run(bin_dir):
    site = hostile.Site(bin_dir)
    for name, is_complete in (("complete", True), ("unterminated", False)):
        site.attack(name, [hostile.head_of(b"a:b\r\n", f"h{number}", is_complete)
                           for number in range(hostile.CLIENTS)])
