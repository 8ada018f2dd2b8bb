"""Workspaces become isolated and shared again; no request may use prompt parts of others across such a change.

Guards against WALL (review/3): parts that a workspace made before it became isolated stayed in the group that all
others share.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "standin"))

import fleet  # noqa: E402  pylint: disable=wrong-import-position,import-error

ROUTERS = ["127.0.1.2", "127.0.1.3"]
MODELS = ["127.0.1.11", "127.0.1.12"]
KEYS = {"north": "k1", "south": "k2", "west": "k3"}
SUBJECTS_PER_CHANGE = 4
SETTLE_SECONDS = 2.2  # routers have a new configuration within 2 s


def run(bin_dir):
    store = fleet.Store()
    store.put("config", "main", fleet.configuration_of_workspaces(1, KEYS))
    store.put("versions", "m", {"model": "m", "version": 1})
    models = [fleet.CachingTarget(store, ip, f"m{number}", "model-service", "m") for number, ip in enumerate(MODELS)]
    daemons = [fleet.start_router(bin_dir, ROUTERS[0]), *(fleet.start_agent(bin_dir, ip) for ip in MODELS)]
    try:
        print("ready", fleet.wait_until(lambda: fleet.is_ready(ROUTERS[0])))
        Checks(bin_dir, store, models, daemons).run()
    finally:
        for daemon in daemons:
            daemon.process.kill()
            daemon.process.wait()


class Checks:
    def __init__(self, bin_dir, store, models, daemons):
        self.bin_dir = bin_dir
        self.store = store
        self.models = models
        self.daemons = daemons
        self.version = 1
        self.isolated = set()
        self.subjects = list(range(64, 64 + SUBJECTS_PER_CHANGE))

    def change(self, *isolated, keys=None):
        """Isolates just these workspaces and waits until the routers know it."""
        self.version += 1
        self.isolated = set(isolated)
        self.store.put("config", "main",
                       fleet.configuration_of_workspaces(self.version, keys or KEYS, self.isolated))
        # New subjects, on which those ask first who come first after this change.
        self.subjects += range(self.subjects[-1] + 1, self.subjects[-1] + 1 + SUBJECTS_PER_CHANGE)
        time.sleep(SETTLE_SECONDS)

    def ask(self, *names, router=ROUTERS[0], key=None):
        """Has the workspaces ask in turn on all subjects. Returns the salts and the uses of others' parts."""
        before = [(len(model.salts), len(model.uses)) for model in self.models]
        for name in names:
            for subject in self.subjects:
                headers = {**fleet.PROMPT_HEADERS, **fleet.prompt_about(subject)}
                status = fleet.request(router, "/stream/x", "POST", b"prompt", key=key or KEYS[name],
                                       headers=headers)[0]
                if status != 200:
                    print("status", status)
        salts = {salt for model, (first, _) in zip(self.models, before) for _, salt in model.salts[first:]}
        uses = [use for model, (_, first) in zip(self.models, before) for use in model.uses[first:]]
        return salts, [(user, maker) for _, user, maker in uses if user != maker]

    def report(self, what, uses):
        across = [use for use in uses if self.isolated.intersection(use)]
        print(what, "across the wall", len(across), "shared", bool(uses))

    def run(self):
        first_salts, uses = self.ask("north", "south", "west")
        self.report("none isolated:", uses)
        self.change("north")
        self.report("north isolated:", self.ask("south", "west", "north")[1])
        self.change("south")
        self.report("south in its place:", self.ask("north", "west", "south")[1])
        self.change()
        second_salts, uses = self.ask("north", "south", "west")
        self.report("none again:", uses)
        self.change("north")
        self.report("north again:", self.ask("south", "west", "north")[1])
        self.check_keys()
        self.check_late_router()
        print("same salt whenever none is isolated", first_salts == second_salts and len(first_salts) == 1)

    def check_keys(self):
        """A change of keys alone, or of the order of the workspaces, leaves all parts where they are."""
        salts, _ = self.ask("south", "west")
        self.change("north", keys=dict(reversed({**KEYS, "west": "k4"}.items())))
        print("a change of keys keeps the salts", self.ask("south")[0] == salts,
              self.ask("west", key="k4")[0] == salts)

    def check_late_router(self):
        """A router that knows only the last version names the same group as one that has seen them all."""
        self.change("north", "south")
        self.daemons.append(fleet.start_router(self.bin_dir, ROUTERS[1]))
        print("late router ready", fleet.wait_until(lambda: fleet.is_ready(ROUTERS[1])))
        for name in KEYS:
            print(name, "has the same salt at both routers",
                  self.ask(name)[0] == self.ask(name, router=ROUTERS[1])[0])
