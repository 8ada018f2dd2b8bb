"""`check`: exit codes of errors, warnings, unreadable files and a store that does not answer; what is in force."""

import json
import os
import sys
import tempfile

from client import run_client

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))
import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

NO_STORE = "127.0.1.9:1"


def run(bin_dir):
    with tempfile.TemporaryDirectory() as folder:
        def write(name, content):
            path = os.path.join(folder, name)
            with open(path, "w", encoding="utf-8") as out:
                out.write(content if isinstance(content, str) else json.dumps(content))
            return path

        def check(title, path, *options):
            code, out, errors = run_client(bin_dir, "check", path, *options)
            print(title, code, (out + errors).replace(folder + "/", ""), sep="\n")

        valid = write("valid.json", fleet.configuration(1, ["k1"]))
        check("valid", valid)
        odd = fleet.configuration(2, ["k2"])
        odd["routes"][1]["kind"] = "odd"
        odd["routes"][2]["service"] = "lost"
        odd["services"].append({"name": "unused"})
        check("errors", write("odd.json", odd))
        check("errors as JSON", write("odd.json", odd), "--output", "json")
        warned = fleet.configuration(2, ["k1"], idle_timeout_ms=4000)
        warned["services"].append({"name": "unused"})
        check("warnings", write("warned.json", warned))
        check("a file to compare with", write("warned.json", warned), "--against", valid)
        check("settings of a router", valid, "--node",
              write("node.conf", "ip=127.0.0.1\nplatform.addr=127.0.0.1:1\nlimits.memory_mb=0.4\n"))
        for title, path in (("no file", folder + "/none"), ("a folder", folder), ("an endless file", "/dev/zero"),
                            ("no JSON", write("broken.json", "{ not json")),
                            ("endless nesting", write("deep.json", "[" * 300_000 + "]" * 300_000))):
            code, out, errors = run_client(bin_dir, "check", path)
            print(title, code, "cannot be read" in errors, "error document: " in out)
        check("no address of the store", valid, "--against", "in-force")
        check("no store", write("odd.json", odd), "--against", "in-force", "--platform", NO_STORE)
        store = fleet.Store()
        address = f"{fleet.STORE_IP}:{fleet.STORE_PORT}"
        check("nothing in force", valid, "--against", "in-force", "--platform", address)
        store.put("config", "main", fleet.configuration(1, ["k1"]))
        settings = write("client.json", {"platform": address, "timeout_ms": 300})
        check("the same in force", valid, "--against", "in-force", "--config", settings)
        other = write("again.json", fleet.configuration(1, ["k1"], with_open_route=False))
        check("no higher version", other, "--against", "in-force", "--config", settings)
        store.is_refusing = True
        print("refusing store", run_client(bin_dir, "check", valid, "--against", "in-force", "--config", settings)[0])
        store.is_refusing = False
        store.delay = 1.0
        print("slow store", run_client(bin_dir, "check", valid, "--against", "in-force", "--config", settings)[0])
        store.stop()
