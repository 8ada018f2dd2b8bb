"""--help and --version of every program; a settings file with a fault in a key is refused with the key's name."""

import copy
import json
import os
import re
import subprocess

from cluster import HOST, Cluster, free_port, request, wait_until

PROGRAMS = ["dogwoodlatch", "dogwoodlatch-router", "dogwoodlatch-agent", "dogwoodlatch-bench", "dogwoodlatch-standin"]
TIMEOUT_SECONDS = 30.0
MIN_KEYS = 10
VALID = {
    "dogwoodlatch-router": {"id": "router-1", "caller_address": "127.0.0.1:1", "ops_address": "127.0.0.1:2",
                            "platform": {"address": "127.0.0.1:3"}},
    "dogwoodlatch-agent": {"id": "agent-1", "router_address": "127.0.0.1:1", "ops_address": "127.0.0.1:2",
                           "target": {"address": "127.0.0.1:3"}},
}
# A key in the output of `--help`, and the line below it with the type, bounds and default.
KEY_LINE = re.compile(r"^([a-z_0-9.\[\]*]+)\n    (string|integer|number|boolean|object|array)(.*)$", re.MULTILINE)
WRONG_TYPE = {"string": 1, "integer": "one", "number": "one", "boolean": "yes", "object": [], "array": {}}


def run_program(bin_dir, name, *arguments):
    return subprocess.run([os.path.join(bin_dir, name), *arguments], capture_output=True, text=True,
                          timeout=TIMEOUT_SECONDS, check=False)


def with_value(settings, path, value):
    """Returns a copy of the settings with one key set; creates missing parent objects."""
    changed = copy.deepcopy(settings)
    segments = path.split(".")
    parent = changed
    for segment in segments[:-1]:
        parent = parent.setdefault(segment, {})
    parent[segments[-1]] = value
    return changed


def without_key(settings, path):
    changed = copy.deepcopy(settings)
    segments = path.split(".")
    parent = changed
    for segment in segments[:-1]:
        parent = parent[segment]
    del parent[segments[-1]]
    return changed


def faulty_settings(settings, path, kind, rest):
    """Yields (fault code, faulty settings) for each fault that the key can have."""
    yield "wrong_type", with_value(settings, path, WRONG_TYPE[kind])
    bounds = re.search(r"from ([^ ,]+) to ([^ ,]+)", rest)
    if bounds and kind in ("integer", "number"):
        yield "out_of_bounds", with_value(settings, path, int(float(bounds[2])) + 1)
    if bounds and kind == "string":
        yield "out_of_bounds", with_value(settings, path, "x" * (int(float(bounds[2])) + 1))
    if rest.endswith("required"):
        yield "missing_key", without_key(settings, path)
    yield "unknown_key", with_value(settings, path + "_x", 1)


def check_settings(bin_dir, cluster, program):
    """Checks for each key that --help lists, except keys of map and array elements, that each fault it can have is
    refused with the key's name."""
    file = cluster.path("checked.json")

    def check(settings):
        with open(file, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        completed = run_program(bin_dir, program, "--config", file, "--check-config")
        return completed.returncode, completed.stderr
    print(program, "valid settings", check(VALID[program])[0])
    table = run_program(bin_dir, program, "--help").stdout
    keys = [key for key in KEY_LINE.findall(table) if "*" not in key[0] and "[]" not in key[0]]
    not_refused, codes_seen = [], set()
    for path, kind, rest in keys:
        for code, settings in faulty_settings(VALID[program], path, kind, rest):
            named = path + "_x" if code == "unknown_key" else path
            exit_code, errors = check(settings)
            codes_seen.add(code)
            if exit_code != 3 or f"{file}: {named}: {code}" not in errors:
                not_refused.append((named, code, exit_code))
    print(program, "event", "E110 settings_file_refused" in errors)
    print(program, "refused by name", sorted(codes_seen), "not refused", not_refused,
          "walked the table", len(keys) >= MIN_KEYS)


def run(bin_dir):
    for program in PROGRAMS:
        completed = run_program(bin_dir, program, "--help")
        print(program, "--help", completed.returncode, program in completed.stdout)
        completed = run_program(bin_dir, program, "--version")
        print(program, "--version", completed.returncode,
              re.fullmatch(program + r" \d+\.\d+\.\d+\n", completed.stdout) is not None)
        print(program, "unknown option", run_program(bin_dir, program, "--no-such-option").returncode)
    completed = run_program(bin_dir, "dogwoodlatch", "completion", "bash")
    syntax = subprocess.run(["bash", "-n"], input=completed.stdout, text=True, check=False).returncode
    print("completion", completed.returncode, "syntax", syntax, "settings" in completed.stdout)
    with Cluster(bin_dir) as cluster:
        for program in VALID:
            check_settings(bin_dir, cluster, program)
        cluster.add_engine("engine-1")
        router = cluster.add_router("router-1")
        cluster.wait_ready()
        for name, port in (("router", router.ops_port), ("agent", cluster.targets[0].ops_port)):
            print(name, [request(port, "GET", path)[0] for path in ("/healthz", "/readyz", "/metrics", "/status")])
        for name, address in (("caller", router.port), ("operations", router.ops_port)):
            settings = {"id": "second", "caller_address": f"{HOST}:{free_port()}",
                        "ops_address": f"{HOST}:{free_port()}", "platform": {"address": f"{HOST}:{free_port()}"}}
            settings["caller_address" if name == "caller" else "ops_address"] = f"{HOST}:{address}"
            second = cluster.start_daemon("dogwoodlatch-router", "second-" + name, settings)
            wait_until(lambda p=second: p.child.poll() is not None, name + " address to be refused")
            print(name, "address in use", second.child.returncode, "E111 listen_failed" in second.log())
        ops_port = free_port()
        isolated_router = cluster.start_daemon("dogwoodlatch-router", "lonely", {
            "id": "lonely", "caller_address": f"{HOST}:{free_port()}", "ops_address": f"{HOST}:{ops_port}",
            "platform": {"address": f"{HOST}:{free_port()}"}})
        wait_until(lambda: request(ops_port, "GET", "/healthz")[0] == 200, "the router without a platform")
        print("router without platform", [request(ops_port, "GET", path)[0] for path in ("/healthz", "/readyz")])
        print("exit codes", isolated_router.stop(), router.process.stop(), cluster.targets[0].agent.stop())
