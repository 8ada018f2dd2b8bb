"""A settings change takes effect at every router within 7 s. An invalid object leaves the last valid version in force,
also in a router that starts later, and `/status` names the fault."""

import time

from cluster import Cluster, request, router_status, team_settings, wait_until

IN_FORCE_SECONDS = 7.0


def version_in_force(router, name):
    return router_status(router)["settings"].get(name, 0)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        first = cluster.put_object("settings/tengri", team_settings())
        routers = [cluster.add_router("router-1"), cluster.add_router("router-2")]
        cluster.wait_ready()

        second = cluster.put_object("settings/tengri", team_settings(workspaces=("tengri", "schools")), first)
        begin = time.monotonic()
        wait_until(lambda: all(version_in_force(r, "tengri") == second for r in routers), "the change")
        print("change in force at every router within 7 s:", time.monotonic() - begin < IN_FORCE_SECONDS)

        invalid = team_settings()
        invalid["models"]["assistant"]["piece_bytes"] = "large"
        third = cluster.put_object("settings/tengri", invalid, second)
        ounje_version = cluster.put_object("settings/ounje", team_settings(workspaces=("tengri",), models=("menu",)))
        late_router = cluster.add_router("router-3")
        routers.append(late_router)
        wait_until(lambda: request(late_router.ops_port, "GET", "/readyz")[0] == 200, "the late router")
        wait_until(lambda: all(len(router_status(r)["refused_settings"]) == 2 for r in routers), "the refusals")
        for router in routers:
            status = router_status(router)
            refused = status["refused_settings"]
            fault = refused["tengri"]["faults"][0]
            print(router.process.name, "last valid in force:", status["settings"]["tengri"] == second,
                  "refused the newest:", refused["tengri"]["refused"] == third)
            print(" ", fault["where"], fault["code"], fault["detail"])
            fault = refused["ounje"]["faults"][0]
            print(" ", fault["where"], fault["code"], fault["detail"], status["settings"]["ounje"])

        fourth = cluster.put_object("settings/tengri", team_settings(workspaces=("schools",)), third)
        wait_until(lambda: all(version_in_force(r, "tengri") == fourth
                               and version_in_force(r, "ounje") == ounje_version for r in routers),
                   "the repaired objects")
        print("repaired, and the released workspace is the other team's:", True)

        cluster.control({"delay_ms": 0})
        begin = time.monotonic()
        print("exit codes", [router.process.stop() for router in routers])
        print("stops at once:", time.monotonic() - begin < 3.0)
