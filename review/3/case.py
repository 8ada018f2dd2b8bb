"""A tenant becomes isolated; requests of another tenant still use the KV cache that its requests have made."""

import os
import sys
import time

DIRECTORY = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(DIRECTORY))

import harness  # noqa: E402  pylint: disable=wrong-import-position,import-error
from harness import TROUBLE, fleet, require  # noqa: E402  pylint: disable=wrong-import-position,import-error

SETTLED_SECONDS = 3.0  # after the change; bounds.config_ms is 2 s
SUBJECTS = 10


class Replica(fleet.Target):
    """A model replica that keeps the parts of prompts by salt and knows which tenant's request made each."""

    def __init__(self, store, ip, name, record):
        self.record = record
        self.kept = {}  # (salt, part, model) -> tenant
        self.used = []  # (request id, tenant, part, tenant that made it)
        super().__init__(store, ip, name, "model-service", "m", port=fleet.TARGET_PORT)

    def serve(self, handler, method, path, headers, body):
        is_request = path.startswith("/stream/") and headers.get("x-dogwoodlatch-expect-instance") == self.name
        if is_request:
            self.read_prompt(headers)
        return super().serve(handler, method, path, headers, body)

    def read_prompt(self, headers):
        salt = headers.get("x-dogwoodlatch-cache-salt", "")
        model = headers["x-dogwoodlatch-model"]
        tenant = fleet.workspace_of(headers)
        identity = headers["x-dogwoodlatch-request-id"]
        is_prefix_kept = True
        for entry in headers["x-dogwoodlatch-prompt-prefix"].split(","):
            part = entry.split(":")[0]
            maker = self.kept.get((salt, part, model))
            is_prefix_kept = is_prefix_kept and maker is not None
            if is_prefix_kept:
                self.used.append((identity, tenant, part, maker))
            else:
                self.kept[salt, part, model] = tenant
            self.record.note("part_read", replica=self.name, id=identity, tenant=tenant, salt=salt, part=part,
                             kept_from=maker if is_prefix_kept else "none")


def configuration(version, is_isolated):
    content = fleet.configuration(version, ["k1"])
    content["tenants"] = [{"name": "north", "api_keys": ["k1"], "priority": 1, "isolated": is_isolated},
                          {"name": "south", "api_keys": ["k2"], "priority": 1, "isolated": False}]
    return content


def run(record, network, daemons):
    store = fleet.Store(fleet.STORE_PORT)
    store.put("config", "main", configuration(1, not TROUBLE))
    store.put("versions", "m", {"model": "m", "version": 1})
    replicas = [Replica(store, network.ip(11 + number), f"m{number}", record) for number in range(2)]
    router = harness.start_router(network.ip(2))
    daemons += [router, *(harness.start_agent(network.ip(11 + number)) for number in range(2))]
    require(fleet.wait_until(lambda: fleet.is_ready(router.ip)), "the router is not ready")
    time.sleep(3.5)

    def ask(key, own_part):
        for subject in range(SUBJECTS):
            identity = fleet.new_request_id()
            headers = {**fleet.PROMPT_HEADERS, **fleet.prompt_of(["a1:300", f"{subject + 64:x}:700", f"{own_part}:200"])}
            status = fleet.request(router.ip, "/stream/x", "POST", b"prompt", key=key, headers=headers,
                                   identity=identity)[0]
            record.note("request", id=identity, key=key, status=status)
            require(status == 200, "a request is not served")

    if not TROUBLE:
        record.note("configuration_acknowledged", version=1, isolated="north")
    ask("k1", "c3")
    if TROUBLE:
        store.put("config", "main", configuration(2, True))
        record.note("configuration_acknowledged", version=2, isolated="north")
    time.sleep(SETTLED_SECONDS)
    settled_from = [len(replica.used) for replica in replicas]
    ask("k2", "d4")
    is_broken = False
    for replica, start in zip(replicas, settled_from):
        for identity, tenant, part, maker in replica.used[start:]:
            if tenant != maker and "north" in (tenant, maker):
                is_broken = True
                record.note("broken", replica=replica.name, id=identity, tenant=tenant, part=part, made_for=maker)
    return is_broken


harness.play(DIRECTORY, run)
