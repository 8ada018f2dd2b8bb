"""Judges what callers and targets saw: an attempt that ends without a complete response needs an excuse.

Excuses come from the injected faults and from the records of callers and targets, never from the daemons.
"""

import collections
import dataclasses

STOP = "stop"
# A request that is sent when a stopped router exits crosses the end of its connection.
EXIT_CROSSING_SECONDS = 0.05
# Time by which a busy machine may delay a caller between its decision to send and the sending.
CALLER_LAG_SECONDS = 0.1
# Time after which a request whose caller has its response, or has seen its connection end, must not arrive.
WITHDRAWAL_SECONDS = 0.5
DEADLINE_TOLERANCE_SECONDS = 0.1
DEPARTURE_SECONDS = 2.2  # until requests no longer arrive at a target whose entry was removed
# Time after the store's return during which the entry of a removed target may still be taken for a lapsed one.
SETTLING_SECONDS = 0.7
BREAKING_BEHAVIOURS = ("broken", "lost", "reset", "failing", "unsealed", "extra", "doubled", "endless")
LAST_EVENTS_SECONDS = 4.0  # of the injected faults before the end of an attempt


@dataclasses.dataclass
class Outage:
    """A router that was ended by a signal. The times of its exit and return are None until they are known."""

    ip: str
    cause: str
    began_at: float
    exited_at: float = None
    ended_at: float = None

    def overlaps(self, attempt):
        return attempt.ended_at >= self.began_at and (self.ended_at is None or attempt.sent_at <= self.ended_at)


@dataclasses.dataclass
class Departure:
    """A target whose entry was removed while it went on to serve."""

    target: object
    era: int
    began_at: float
    ended_at: float = None


class Judge:
    def __init__(self, targets, links, outages, idle_limit, route_timeout):
        self.outages = outages
        self.idle_limit = idle_limit
        self.route_timeout = route_timeout
        self.resets = {link.upstream[0]: link.resets for link in links}
        self.runs = collections.defaultdict(list)  # request id -> (time, target, behaviour)
        self.arrivals = collections.defaultdict(list)  # request id -> (time, target)
        for target in targets:
            for arrived_at, request_id in target.arrivals:
                self.arrivals[request_id].append((arrived_at, target))
            for began_at, request_id, behaviour in target.runs:
                self.runs[request_id].append((began_at, target, behaviour))

    def excuse(self, kind, request_id, router, attempt):
        """Returns the excuse of an attempt without a complete response, or None."""
        causes = [self.excuse_of_outage(outage, request_id, attempt) for outage in self.outages
                  if outage.ip == router and outage.overlaps(attempt)]
        if any(causes):
            return next(filter(None, causes))
        if attempt.idle > self.idle_limit + CALLER_LAG_SECONDS:
            return "caller sent late"
        if kind != "stream" or not attempt.has_head:
            return None
        if attempt.ended_at - attempt.sent_at >= self.route_timeout - DEADLINE_TOLERANCE_SECONDS:
            return "deadline"
        runs = self.runs[request_id]
        if runs and all(self.is_broken(run, attempt) for run in runs):
            return f"broken by targets in {len(runs)} of {len(self.arrivals[request_id])} arrivals"
        return None

    def excuse_of_outage(self, outage, request_id, attempt):
        if outage.cause != STOP:
            return outage.cause
        if not attempt.is_connected:
            return "connection refused by a stopped router"
        has_crossed_exit = (outage.exited_at is not None and not self.arrivals[request_id]
                            and attempt.sent_at >= outage.exited_at - EXIT_CROSSING_SECONDS)
        return "crossed the exit of a stopped router" if has_crossed_exit else None

    def is_broken(self, run, attempt):
        began_at, target, behaviour = run
        was_reset = any(began_at <= reset <= attempt.ended_at for reset in self.resets[target.address[0]])
        return was_reset or behaviour.startswith(BREAKING_BEHAVIOURS)

    def describe(self, kind, request_id, router, attempt, started, events):
        runs = [f"{target.address[0]} {began_at - started:.3f} {behaviour}"
                for began_at, target, behaviour in self.runs[request_id]]
        ended_at = attempt.ended_at - started
        earlier = [event for event in events if 0 <= ended_at - float(event.split()[0]) <= LAST_EVENTS_SECONDS]
        return (f"{kind} {request_id} at {router}: no complete response and no excuse; "
                f"sent {attempt.sent_at - started:.3f} after {attempt.idle:.4f} s idle, ended {ended_at:.3f} "
                f"{'within' if attempt.has_head else 'before'} the response, {attempt.error}; "
                f"{len(self.arrivals[request_id])} arrivals, runs {runs}; last events {earlier}")

    def late_arrivals(self, request_id, attempt):
        """Requests that reach a target although their callers wait no more."""
        return [f"{request_id} arrived at {target.address[0]} {arrived_at - attempt.ended_at:.2f} s after its end"
                for arrived_at, target in self.arrivals[request_id]
                if arrived_at > attempt.ended_at + WITHDRAWAL_SECONDS]

    @staticmethod
    def arrivals_after(departure, era, store_faults):
        """Requests that reach a target too late after its removal, if all routers were in touch with the store."""
        began_at = departure.began_at
        bound = began_at + DEPARTURE_SECONDS
        is_excused = era != departure.era or any(start <= bound and end >= began_at - SETTLING_SECONDS
                                                 for start, end in store_faults)
        ended_at = departure.ended_at or float("inf")
        return [f"{request_id} arrived at {departure.target.address[0]} {arrived_at - began_at:.2f} s after its removal"
                for arrived_at, request_id in departure.target.arrivals
                if bound < arrived_at < ended_at and not is_excused]
