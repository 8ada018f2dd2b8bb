"""The platform is restored to older data, or a stale replica answers a read: no version in force decreases."""

import time

from cluster import Cluster, request, router_status, team_settings, wait_until

WATCH_SECONDS = 2.0


def versions_in_force(router):
    status = router_status(router)
    return status["settings"].get("tengri", 0), status["vm_list"]


def lowest_versions(routers):
    """Returns the lowest versions that any router reports within WATCH_SECONDS."""
    lowest = versions_in_force(routers[0])
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end:
        for router in routers:
            lowest = tuple(map(min, lowest, versions_in_force(router)))
        time.sleep(0.05)
    return lowest


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        first = cluster.put_object("settings/tengri", team_settings())
        cluster.add_engine("engine-1", options=["--token-ms", "2"])
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()
        cluster.connect_peers()
        second = cluster.put_object("settings/tengri", team_settings(workspaces=("tengri", "schools")), first)
        cluster.publish_vms()
        wait_until(lambda: all(versions_in_force(r) == (second, 3) for r in routers), "the change")

        cluster.control({"stale_reads": 1, "stale_revision": first})
        routers[0].process.kill()
        routers[0].process.restart()
        wait_until(lambda: request(routers[0].ops_port, "GET", "/readyz")[0] == 200, "the router")
        print("started on an old replica's answer, lowest is newest:", lowest_versions(routers) == (second, 3))

        cluster.control({"down": True})
        cluster.control({"restore_to": first, "restore_vms_to": 2})
        cluster.control({"down": False})
        print("platform restored to older data, lowest is newest:", lowest_versions(routers) == (second, 3))

        routers[1].process.kill()
        routers[1].process.restart()
        wait_until(lambda: request(routers[1].ops_port, "GET", "/readyz")[0] == 200, "the router")
        print("restarted on older data beside a peer, lowest is newest:", lowest_versions(routers) == (second, 3))

        next_version = cluster.put_object("settings/tengri", team_settings(workspaces=("tengri", "menus")), first)
        while next_version <= second:
            next_version = cluster.put_object("settings/tengri", team_settings(workspaces=("tengri", "menus")),
                                              next_version)
        wait_until(lambda: all(versions_in_force(r)[0] == next_version for r in routers), "the next change")
        print("a later version is adopted:", True)
