"""Computes the tables of docs/CAPACITY.md from measured figures.

usage: dogwoodlatch-bench slopes > F1; dogwoodlatch-bench transport > F2; ...
       capacity.py F1 F2 ...
Reads the JSON lines that have a "figure" and prints each role's use of its control budget at the design size.
"""

import json
import sys

# The design size.
ROUTERS = 340
AGENTS = 760
REQUESTS_PER_SECOND = 3100
TOKENS_PER_SECOND = 1.1e6
CACHE_BLOCKS = 27e6
CACHE_EVENTS_PER_SECOND = 250e3
WORKSPACES = 11000
CHANGES_PER_DAY = 4200
RESTARTS_PER_DAY = 340
SECONDS_PER_DAY = 86400

# Assumptions about the workload and the settings.
CANDIDATES = 4
MAX_PROBE_KEYS = 16  # limit of the probe message
WORKSPACES_PER_TEAM = 100
VM_ENTRY_BYTES = 150
WATCH_WAIT_SECONDS = 5
CLAIM_WRITES_PER_SECOND = 258  # dogwoodlatch-bench claims: 310/s, 760 targets, 8 logs
NON_IDEMPOTENT_SHARE = 0.1

# Budgets of one daemon for control traffic and state.
CONTROL_CORE_SHARE = 0.04
CONTROL_MEMORY_MB = 128
CONTROL_BYTES_PER_SECOND = 10e3


# Measured figures by name: each is a value, or a base and a slope per unit of size.
class Figures:
    def __init__(self, paths):
        self.lines = {}
        for path in paths:
            with open(path, encoding="utf-8") as file:
                for line in file:
                    if line.startswith("{"):
                        item = json.loads(line)
                        if "figure" in item:
                            self.lines[item["figure"]] = item

    def value_at(self, name, size=0):
        item = self.lines[name]
        return item["value"] if "value" in item else item["base"] + item["slope"] * size

    def slope(self, name):
        return self.lines[name]["slope"]

    def has(self, name):
        return name in self.lines


def print_table(title, rows, unit, budget):
    print(f"\n### {title}\n\n| part | {unit} |\n|---|---|")
    for name, value in rows:
        print(f"| {name} | {value:.3g} |")
    total = sum(value for _, value in rows)
    print(f"| **sum** | **{total:.3g}** of {budget:g} ({100 * total / budget:.0f}%) |")


def router_rows(figures):
    requests = REQUESTS_PER_SECOND / ROUTERS
    probes = requests * CANDIDATES
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    team_bytes = figures.value_at("team_object_bytes", WORKSPACES_PER_TEAM)
    vm_changes = 2 * RESTARTS_PER_DAY / SECONDS_PER_DAY
    probe_us = figures.value_at("probe_round_trip_processor_time_both_ends") / 2
    pick_us = figures.value_at("pick_candidates_time", AGENTS) / 1000
    adopt_us = (figures.value_at("settings_copy_time", WORKSPACES) +
                figures.value_at("team_check_and_parse_time", WORKSPACES_PER_TEAM)) / 1000
    cpu = [("probes", 100 * probes * probe_us / 1e6),
           ("choice of candidates among 760", 100 * requests * pick_us / 1e6),
           ("keying, 50 pieces", 100 * requests * figures.value_at("keying_time", 50) / 1e9),
           ("workspace lookup", 100 * requests * figures.value_at("workspace_lookup_time", WORKSPACES) / 1e9),
           ("adoption of settings", 100 * changes * adopt_us / 1e6)]
    sent = [("probes and replies",
             probes * (figures.value_at("probe_bytes", MAX_PROBE_KEYS) + figures.value_at("probe_reply_bytes"))),
            ("settings changes", changes * team_bytes),
            ("VM list", vm_changes * AGENTS * VM_ENTRY_BYTES)]
    memory = [("settings, two snapshots", 2 * figures.value_at("settings_memory", WORKSPACES) / 1e6),
              ("VM list", figures.value_at("vm_list_memory", AGENTS) / 1e6),
              ("connections to all agents", AGENTS * figures.slope("connection_memory_both_ends") / 2 / 1e6)]
    return cpu, sent, memory


def agent_rows(figures):
    probes = REQUESTS_PER_SECOND * CANDIDATES / AGENTS
    events = CACHE_EVENTS_PER_SECOND / AGENTS
    blocks = CACHE_BLOCKS / AGENTS
    probe_us = figures.value_at("probe_round_trip_processor_time_both_ends") / 2
    cpu = [("probes", 100 * probes * probe_us / 1e6)]
    memory = [("connections from all routers", ROUTERS * figures.slope("connection_memory_both_ends") / 2 / 1e6)]
    if figures.has("cache_event_time"):
        cpu.append(("cache events", 100 * events * figures.value_at("cache_event_time") / 1e9))
        memory.append(("cache index", blocks * figures.slope("cache_index_memory") / 1e6))
    sent = [("probes and replies",
             probes * (figures.value_at("probe_bytes", MAX_PROBE_KEYS) + figures.value_at("probe_reply_bytes")))]
    return cpu, sent, memory


def print_platform_calls():
    print("\n### Platform calls a second\n\n| call | a second |\n|---|---|")
    watches = ROUTERS * 2 / WATCH_WAIT_SECONDS
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    print(f"| watches that return on their own ({WATCH_WAIT_SECONDS} s) | {watches:.0f} |")
    print(f"| watches that return with a change | {changes * ROUTERS:.0f} |")
    print(f"| claims before group commit | {REQUESTS_PER_SECOND * NON_IDEMPOTENT_SHARE:.0f} |")
    print(f"| writes of claims, group commit | {CLAIM_WRITES_PER_SECOND} |")


def main():
    figures = Figures(sys.argv[1:])
    for role, rows in (("Router", router_rows(figures)), ("Agent", agent_rows(figures))):
        cpu, sent, memory = rows
        print_table(f"{role}: processor time", cpu, "% of a core", 100 * CONTROL_CORE_SHARE)
        print_table(f"{role}: bytes", sent, "B/s", CONTROL_BYTES_PER_SECOND)
        print_table(f"{role}: memory", memory, "MB", CONTROL_MEMORY_MB)
    print_platform_calls()


if __name__ == "__main__":
    main()
