"""Bodies of legal size that stop one byte before their end and stay open.

Guards against bodies that are held without a bound for all together, or for callers whose key is not valid.
"""

import hostile

CLIENTS = 60


def run(bin_dir):
    site = hostile.Site(bin_dir)
    for name, key, is_chunked, piece in (("whole", "k1", False, hostile.BODY_BYTES),
                                         ("whole, no key", None, False, hostile.BODY_BYTES),
                                         ("in chunks", "k1", True, hostile.PIECE),
                                         ("in chunks, no key", None, True, 16384),
                                         ("in small pieces", "k1", False, 1000)):
        payload = hostile.body_of(f"b-{name[:8].replace(' ', '')}", key, is_chunked)
        site.attack(name, [payload] * CLIENTS, piece=piece)
