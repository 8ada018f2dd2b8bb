"""Settings commands of the client: faults named by key, put, conflicting writes, lost responses, platform down."""

import json

from client import run_client
from cluster import HOST, Cluster, request, team_settings, wait_until

# One fault of each kind: title, change to a valid file, key that the error must name, fault code.
FAULTS = [
    ("unknown key", {"modles": {}}, "modles", "unknown_key"),
    ("missing key", {"services": {"fleet": {"idempotent_routes": [{"method": "GET"}]}}},
     "services.fleet.idempotent_routes[0].path", "missing_key"),
    ("wrong type", {"models": {"assistant": {"deadline_ms": "soon"}}}, "models.assistant.deadline_ms", "wrong_type"),
    ("below bound", {"workspaces": {"tengri": {"key_sha256": "ab"}}}, "workspaces.tengri.key_sha256",
     "out_of_bounds"),
    ("above bound", {"objectives": {"fast": {"serves": "assistant", "share": 1}}}, "objectives.fast.share",
     "out_of_bounds"),
]


class Operator:
    """Writes settings files and runs the client against the cluster's platform."""

    def __init__(self, cluster, bin_dir):
        self.cluster = cluster
        self.bin_dir = bin_dir

    def write_file(self, name, settings):
        path = self.cluster.path(name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(settings if isinstance(settings, str) else json.dumps(settings))
        return path

    def run(self, *arguments):
        return run_client(self.bin_dir, *arguments, "--platform", f"{HOST}:{self.cluster.platform_port}")


def check_validate(operator):
    path = operator.write_file("valid.json", "// a comment\n" + json.dumps(team_settings()))
    print("valid file", operator.run("settings", "validate", path)[0])
    path = operator.write_file("broken.json", "{ not json")
    code, _, errors = operator.run("settings", "validate", path)
    print("not JSON", code, "bad_json" in errors, path in errors)
    for name, change, key, kind in FAULTS:
        path = operator.write_file("faulty.json", {**team_settings(), **change})
        code, _, errors = operator.run("settings", "validate", path)
        print(name, code, f"{path}: {key}: {kind}" in errors)
    print("no file", operator.run("settings", "validate", operator.cluster.path("absent.json"))[0])


def check_put_conflicts(operator):
    first = team_settings()
    code, out, _ = operator.run("settings", "put", "schools", operator.write_file("a.json", first), "--output", "json")
    base = json.loads(out)["version"]
    print("put", code)
    code, out, _ = operator.run("settings", "get", "schools", "--output", "json")
    print("get", code, json.loads(out)["settings"] == first, json.loads(out)["version"] == base)

    theirs = json.loads(json.dumps(first))
    theirs["models"]["assistant"]["deadline_ms"] = 9000
    ours = json.loads(json.dumps(first))
    ours["workspaces"]["tengri"]["share"] = 2.0
    file = operator.write_file("ours.json", ours)
    print("diff")
    print(operator.run("settings", "diff", "schools", file)[1], end="")
    print("their put", operator.run("settings", "put", "schools", operator.write_file("theirs.json", theirs))[0])
    code, _, errors = operator.run("settings", "put", "schools", file, "--base", str(base))
    print("our put from the same base", code)
    print("\n".join(errors.splitlines()[1:]))
    current = json.loads(operator.run("settings", "get", "schools", "--output", "json")[1])["settings"]
    print("their change stands", current == theirs)
    code, out, _ = operator.run("settings", "history", "schools", "--output", "json")
    print("history", code, [[c["path"] for c in v["changes"]] for v in json.loads(out)[1:]])
    code, _, errors = operator.run("settings", "put", "clinics", operator.write_file("clash.json", team_settings()))
    print("put of another team's workspace", code, "forbidden" in errors, "schools" in errors)
    print("not written", operator.run("settings", "get", "clinics")[0])
    return ours


def check_platform_faults(operator, settings):
    cluster = operator.cluster
    cluster.control({"lose_answers": 1})
    print("put with a lost answer",
          operator.run("settings", "put", "schools", operator.write_file("b.json", settings))[0])
    cluster.control({"down": True})
    print("get while the platform is down", operator.run("settings", "get", "schools")[0])
    cluster.control({"down": False})
    print("get of an unknown team", operator.run("settings", "get", "nobody")[0])


def check_status(operator, bin_dir):
    """`status` names the slowest daemon of each version, and works while the platform is down."""
    cluster = operator.cluster
    cluster.add_engine("engine-1")
    router = cluster.add_router("router-1")
    cluster.wait_ready()
    daemons = f"{HOST}:{router.ops_port},{HOST}:{cluster.targets[0].ops_port}"
    wait_until(lambda: "schools" in json.loads(request(router.ops_port, "GET", "/status")[2])["settings"], "settings")
    code, out, _ = operator.run("status", "--daemons", daemons, "--output", "json")
    reported = json.loads(out)
    print("status", code, [(t["id"], t["health"]) for t in reported["targets"]],
          [(v["team"], v["slowest_daemon"], v["in_force_everywhere"]) for v in reported["versions"]])
    cluster.control({"down": True})
    file = operator.write_file("client.json", {"daemons": daemons.split(",")})
    code, out, _ = run_client(bin_dir, "status", "--config", file, "--output", "json")
    reported = json.loads(out)
    print("status without platform", code, reported["platform"]["answers"], [t["health"] for t in reported["targets"]],
          [(v["team"], v["slowest_daemon"]) for v in reported["versions"]])
    code, out, _ = run_client(bin_dir, "status", "--config", file)
    print("status as a table", code, "router-1" in out)
    print("status of nothing", run_client(bin_dir, "status")[0])


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        operator = Operator(cluster, bin_dir)
        check_validate(operator)
        settings = check_put_conflicts(operator)
        check_platform_faults(operator, settings)
        check_status(operator, bin_dir)
        print("unknown command", run_client(bin_dir, "settings", "burn")[0])
        print("missing argument", run_client(bin_dir, "settings", "get")[0])
        print("unknown output", run_client(bin_dir, "status", "--output", "xml")[0])
