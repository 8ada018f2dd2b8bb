"""The basic path through separate processes: a completion, a streamed completion and service calls."""

import json

from cluster import Cluster, bearer_headers, chat_body, request, stream_chat, team_settings

SERVICES = {"fleet": {"idempotent_routes": [{"method": "GET", "path": "/devices/*"}]}}


def run(bin_dir):
    with Cluster(bin_dir) as cluster:
        cluster.put_object("settings/tengri", team_settings(services=SERVICES))
        cluster.add_engine("engine-1", options=["--token-ms", "2"])
        cluster.add_engine("engine-2", options=["--token-ms", "2"])
        cluster.add_service("fleet-1", "fleet")
        router = cluster.add_router("router-1")
        cluster.wait_ready()

        status, headers, text = request(router.port, "POST", "/v1/chat/completions", chat_body("explain the log"),
                                        bearer_headers("tengri"))
        response = json.loads(text)
        full_text = response["choices"][0]["message"]["content"]
        print("whole", status, headers["X-Dogwoodlatch-Outcome"], len(full_text.split()), "words")

        streamed, done, error = stream_chat(router.port, "tengri", "explain the log")
        print("streamed equals whole", streamed == full_text, "done", done, "error", error)

        status, _, text = request(router.port, "GET", "/services/fleet/devices/7", None, bearer_headers("tengri"))
        print("read", status, json.loads(text)["path"])

        headers = {**bearer_headers("tengri"), "Idempotency-Key": "wipe-7"}
        status, _, text = request(router.port, "POST", "/services/fleet/wipe/7", {}, headers)
        print("wipe", status, json.loads(text)["key"])

        status, _, text = request(router.port, "POST", "/services/fleet/wipe/7", {}, bearer_headers("tengri"))
        print("wipe without key", status, json.loads(text)["error"]["code"])

        status, _, text = request(router.port, "GET", "/services/fleet/devices/7")
        print("no workspace key", status, json.loads(text)["error"]["code"])

        print("exit code", router.process.stop())
