"""Heads of legal size made of lines without a value, of repeated fields and of a list of very many parts.

Guards against accounting that knows only the lines that were seen first in an attack.
"""

import hostile

LINES = {"no value": b"a:\r\n", "repeated cookie": b"Cookie: a=b\r\n", "repeated host": b"Host: h\r\n",
         "long name": b"a" * 40 + b":\r\n", "folded": b"a:b\r\n c\r\n"}


def run(bin_dir):
    site = hostile.Site(bin_dir)
    for name, line in LINES.items():
        for ending, is_complete in (("complete", True), ("unterminated", False)):
            site.attack(f"{name}, {ending}", [hostile.head_of(line, f"o{number}", is_complete)
                                              for number in range(hostile.CLIENTS)], seconds=2.0)
