"""More connections than the settings give descriptors: silent ones, and ones that stop within a head.

Guards against a router that has no descriptor left for targets and the platform.
"""

import hostile
from hostile import fleet
from hostile import fleet

CLIENTS = 900


def run(bin_dir):
    site = hostile.Site(bin_dir)
    site.attack("silent", [b""] * CLIENTS)
    site.attack("one byte", [b"G"] * CLIENTS)
    site.attack("within a head", [fleet.open_request_head("i1").encode()] * CLIENTS)
