"""Burn reports merge the objectives recorded by two routers and name the budget's consumers, as text, JSON and HTML."""

import json

from client import run_client
from cluster import HOST, Cluster, bearer_headers, chat_body, request, stream_chat, team_settings, wait_until

OBJECTIVES = {
    "complete": {"serves": "assistant", "share": 0.9},
    "first-token": {"serves": "assistant", "share": 0.5, "first_token_ms": 5000},
    "too-fast": {"serves": "assistant", "share": 0.9, "first_token_ms": 1},
    "fleet": {"serves": "fleet", "share": 0.99},
}
SERVICES = {"fleet": {"idempotent_routes": [{"method": "GET", "path": "/*"}]}}


def run_report(bin_dir, daemons, name, output="json"):
    return run_client(bin_dir, "report", name, "--daemons", daemons, "--output", output)


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        settings = {**team_settings(("tengri", "ounje"), services=SERVICES), "objectives": OBJECTIVES}
        cluster.put_object("settings/schools", settings)
        cluster.add_engine("engine-1", options=["--token-ms", "1", "--prefill-rate", "1000"])
        fleet = cluster.add_service("fleet-1", "fleet")
        routers = [cluster.add_router(name) for name in ("router-1", "router-2")]
        cluster.wait_ready()
        for router in routers:
            for workspace in ("tengri", "ounje"):
                stream_chat(router.port, workspace, f"explain the log of {workspace} " + "x" * 400)
            request(router.port, "POST", "/v1/chat/completions", chat_body("whole"), bearer_headers("tengri"))
            request(router.port, "GET", "/services/fleet/devices/1", None, bearer_headers("tengri"))
        request(routers[0].port, "POST", "/v1/chat/completions", "not json", bearer_headers("tengri"))
        fleet.agent.kill()
        request(routers[0].port, "GET", "/services/fleet/devices/1", None, bearer_headers("ounje"))
        daemons = ",".join(f"{HOST}:{router.ops_port}" for router in routers)

        def merged_objectives():
            return json.loads(run_report(bin_dir, daemons, "burn")[1])["objectives"]
        # A router counts a request shortly after the caller has received the end of the response.
        wait_until(lambda: sum(row["long"][1] for row in merged_objectives()[0]["rows"]) == 6, "six requests")
        for objective in merged_objectives():
            rows = [(row["workspace"], row["target"] or "-", *row["long"]) for row in objective["rows"]]
            print(objective["name"], objective["state"], sorted(rows))
        code, text, _ = run_report(bin_dir, daemons, "burn", "table")
        print("table", code, "schools/fleet is spent by" in text, "schools/complete is spent by" in text)
        code, page, _ = run_report(bin_dir, daemons, "burn", "html")
        print("page", code, page.count("<svg"), "plots,", "outside references", "http" in page or "src=" in page)
        code, out, _ = run_report(bin_dir, daemons, "usage")
        print("usage", code, [(u["workspace"], u["serves"], u["requests"], u["complete"])
                              for u in json.loads(out)["usage"]])
        metrics = request(routers[0].ops_port, "GET", "/metrics")[2]
        print("metrics", 'dogwoodlatch_burn_rate{team="schools",objective="complete",window="short"} 0' in metrics)
        routers[1].process.kill()
        code, out, errors = run_report(bin_dir, daemons, "burn")
        print("one router killed", code, len(json.loads(out)["silent"]), "unavailable" in errors)
        routers[0].process.kill()
        print("both killed", run_report(bin_dir, daemons, "burn")[0])
