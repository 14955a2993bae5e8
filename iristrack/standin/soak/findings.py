"""What must hold after a soak, by what its clients, its servers and its operator have seen."""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator

from iristrack.standin.client import BrokenAnswer, Request, ask_once, new_attempt_id
from iristrack.standin.ledger import Arrival
from iristrack.standin.soak.traffic import HOST, Try
from iristrack.standin.soak.troubles import History
from iristrack.standin.system import System
from iristrack.standin.waiting import NeverCame, wait_until

PROMISES = frozenset({408, 421, 429, 503})  # statuses that say: it has not run, and never will
REFUSALS = frozenset({400, 401, 403, 404})  # every request of a soak is proper, and its route always stands
SETTLED_S = 15.0  # after the last trouble everything is served again within it
CONTACT_S = 3.0  # a machine is in touch so long after its last trouble
SERVED_SHARE = 0.5  # of all that were answered, however many troubles there were


def judge(system: System, history: History, tries: list[Try]) -> list[str]:
    """All that was found wrong."""
    arrivals: dict[str, list[Arrival]] = {}
    for arrival in system.ledger.arrivals():
        arrivals.setdefault(arrival.attempt_id, []).append(arrival)
    found = list(history.findings)
    for one in tries:
        found += _judge_try(one, arrivals.get(one.attempt_id, []), history)
    found += _judge_weights(system, history, tries, arrivals)
    found += _judge_repeats(system, arrivals)
    found += [f"a traceback in the log:\n{text[-2000:]}" for text in system.tracebacks()]
    answered = [one for one in tries if one.status is not None]
    served = sum(one.status == 200 and one.whole for one in answered)
    if served < SERVED_SHARE * len(answered):
        found.append(f"{served} of {len(answered)} requests were served")
    return found


def _judge_try(one: Try, arrivals: list[Arrival], history: History) -> Iterator[str]:
    runs = sum(arrival.ran for arrival in arrivals)
    if one.spoilt:
        yield f"an answer that is not the server's: {one}"
    if runs > 1 and not one.kind.may_run_twice:
        yield f"ran {runs} times: {one}"
    if one.status in PROMISES and runs and not one.kind.may_run_twice:
        yield f"refused and run: {one}"
    if one.status in REFUSALS:
        yield f"denied: {one}"
    if not one.whole and arrivals and not _was_disturbed(one, arrivals, history):
        yield f"cut without unplanned trouble: {one}, at {[a.instance_id for a in arrivals]}"


def _was_disturbed(one: Try, arrivals: Iterable[Arrival], history: History) -> bool:
    names = [one.edge, *(arrival.instance_id for arrival in arrivals)]
    return any(history.disturbed(name, one.sent_at, one.ended_at) for name in names)


def _judge_weights(
    system: System, history: History, tries: list[Try], arrivals: dict[str, list[Arrival]]
) -> Iterator[str]:
    """Nothing begins on older weights after their time, at machines in touch."""
    bound_s = system.rule_bounds["version_ms"] / 1000
    for one in tries:
        if not one.kind.streaming or history.disturbed(one.edge, one.sent_at - CONTACT_S, one.ended_at):
            continue
        for arrival in arrivals.get(one.attempt_id, []):
            # Where all of the core was killed the time counts anew, as by the rules.
            newer = [
                max(at, history.core_back_at)
                for revision, at in history.named.items()
                if revision > arrival.revision
            ]
            if arrival.ran and newer and arrival.at > min(newer) + bound_s:
                late = arrival.at - min(newer)
                yield f"began on weights {arrival.revision}, {late:.3f} s after newer ones were named: {one}"


def _judge_repeats(system: System, arrivals: dict[str, list[Arrival]]) -> Iterator[str]:
    """In no window do all edge machines together send on more repeats than the budget allows."""
    bounds = system.rule_bounds
    window_s, ratio, slack = (bounds[f"retry_{name}"] for name in ("window_s", "ratio", "slack"))
    in_order = [sorted(arrival.at for arrival in sent) for sent in arrivals.values()]
    first = sorted(sent[0] for sent in in_order)
    repeats = sorted(at for sent in in_order for at in sent[1:])
    for begun in repeats:
        ended = begun + window_s
        sent_again = bisect_right(repeats, ended) - bisect_left(repeats, begun)
        allowed = ratio * (bisect_right(first, ended) - bisect_left(first, begun)) + slack
        if sent_again > allowed:
            yield f"{sent_again} repeats in {window_s} s, {allowed:.0f} are allowed"
            return


def settle(system: System, history: History) -> list[str]:
    """Wait until everything is served again by the newest configuration; what did not come about."""
    found = []
    for machine in system.machines:
        if not machine.running:
            found.append(f"{machine.name} is not running")
    try:
        system.wait_ready(patience_s=SETTLED_S)
        for edge in system.edges:
            wait_until(
                lambda edge=edge: _serves(edge.front, history.revision),
                f"revision {history.revision} at {edge.name}",
                SETTLED_S,
            )
        newest = json.loads(system.operator.read().body)["revision"]
    except (NeverCame, AssertionError) as fault:
        return [*found, str(fault)]
    if newest != history.revision:
        found.append(f"configuration {newest} is read, {history.revision} was acknowledged")
    return found


def _serves(front: str, revision: int) -> bool:
    request = Request(HOST, f"/v{revision}/x", new_attempt_id())
    try:
        return ask_once(front, request).status == 200
    except BrokenAnswer:
        return False


def summary(tries: list[Try], history: History) -> str:
    """One line: what was asked, how it ended, and which troubles there were."""
    ends = Counter("cut" if not one.whole else one.status for one in tries)
    told = " ".join(f"{end}:{count}" for end, count in sorted(ends.items(), key=lambda pair: str(pair[0])))
    kept = sum(one.kept for one in tries)
    troubles = " ".join(f"{name}:{count}" for name, count in sorted(history.counts.items()))
    return f"tries={len(tries)} on_kept_connections={kept} ends=[{told}] troubles=[{troubles}]"
