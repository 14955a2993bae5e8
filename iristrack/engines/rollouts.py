"""The plan of one roll-out: how much of a service's traffic its new version gets when, and how it ends. No I/O.

    waiting     no server of the new version is ready yet: it gets nothing
    canary      a small share, sent to so few of its servers that these are as busy as all would be with all of it, in
                every other turn to half as many, and to others in each turn
    steps       the share rises quickly to the whole
    whole       it gets everything, until nothing is under way at the old version's servers
    finished    the old version's servers may stop
    reverted    from any step, as soon as the evidence speaks against it: it gets nothing any more

The share is low for most of the time and rises late, since what a bad version may get is counted over the whole time
from the order to its deadline, and a version may turn bad late. Times are shares of that time.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from iristrack.wire.messages import RolloutState

RUNNING, FINISHED, REVERTED = "running", "finished", "reverted"
FULL_SHARE = 1000  # of the share, in thousandths
LEAST_CANARY_SHARE = 40
MOST_CANARY_SHARE = 120
CANARY_ENDS = 0.55  # of the time
CANARY_BUDGET = 0.3  # of what a bad version may get, for the canary; the steps need the rest
RATE_KNOWN_NS = 2_000_000_000  # since the order; before, too few answers tell the rate of requests
STEPS = ((0.55, 100), (0.60, 200), (0.65, 450), (0.70, FULL_SHARE))  # of the time, and the share from then on
FEWEST_ANSWERS = 20  # of the new version, before its share rises, while there is time to wait for them
LATEST_WAIT = 0.62  # of the time, until which these are waited for
NS_PER_MS = 1_000_000
LEAST_WHOLE_NS = 1500 * NS_PER_MS  # at the whole share, before it may be finished
LATEST_FINISH = 0.93  # of the time: it is finished though something is under way at the old version's servers
CONCENTRATION = 0.8  # of the servers that a share would need: these are a little busier than all would be
LOADED_CONCENTRATION = 0.4  # the same in every other turn of a canary: a version may be bad under load only
TURN = 0.11  # of the time, after which a canary goes to other servers: one may be ill by itself


@dataclass(frozen=True, slots=True)
class RolloutObservation:
    """What the holder of the duty sees of one roll-out."""

    elapsed_ns: int  # since the order
    full_share_ns: int  # since the new version was given everything; 0: it was not
    new_ready: int  # servers of the new version that are ready
    old_ready: int
    answers: int  # of the new version so far
    old_inflight: int  # requests at servers of the old version
    is_bad: bool
    all_answers: int = 0  # of both versions since the order
    max_bad_share: float = 0.1  # of all requests until the deadline, that a bad version may get
    bad_request_slack: float = 50  # requests beside it


def next_state(state: RolloutState, situation: RolloutObservation) -> RolloutState:
    """The state that follows; the same one where nothing is to be changed."""
    if state.phase != RUNNING:
        return state
    if situation.is_bad:
        return replace(state, phase=REVERTED, share=0)
    if state.share >= FULL_SHARE:
        return replace(state, phase=FINISHED) if _may_finish(state, situation) else state
    return replace(state, share=max(state.share, _share(state, situation)))


def _share(state: RolloutState, situation: RolloutObservation) -> int:
    if situation.new_ready == 0:
        return 0
    if situation.old_ready == 0:
        return FULL_SHARE
    time = situation.elapsed_ns / (state.over_ms * NS_PER_MS)
    if time < CANARY_ENDS or (situation.answers < FEWEST_ANSWERS and time < LATEST_WAIT):
        return _canary_share(state, situation)
    steps = [share for at, share in STEPS if share > state.share and time >= at]
    return min(steps, default=LEAST_CANARY_SHARE)  # one step at a time, whatever was missed


def _canary_share(state: RolloutState, situation: RolloutObservation) -> int:
    """As much as the budget bears: the more answers there are, the sooner a bad version is found."""
    if situation.elapsed_ns < RATE_KNOWN_NS or not situation.all_answers:
        return LEAST_CANARY_SHARE
    requests = situation.all_answers * state.over_ms * NS_PER_MS / situation.elapsed_ns
    budget = CANARY_BUDGET * (situation.max_bad_share * requests + situation.bad_request_slack)
    return min(
        MOST_CANARY_SHARE, max(LEAST_CANARY_SHARE, int(FULL_SHARE * budget / (requests * CANARY_ENDS)))
    )


def _may_finish(state: RolloutState, situation: RolloutObservation) -> bool:
    if situation.full_share_ns < LEAST_WHOLE_NS:
        return False
    is_late = situation.elapsed_ns >= LATEST_FINISH * state.over_ms * NS_PER_MS
    return situation.new_ready > 0 and (situation.old_inflight == 0 or is_late)


def busy_servers(servers: int, state: RolloutState) -> int:
    """To how many of so many servers the share of the traffic is sent."""
    if state.share >= FULL_SHARE:
        return servers
    concentration = LOADED_CONCENTRATION if is_loaded(state) else CONCENTRATION
    return min(servers, max(1, round(servers * state.share / FULL_SHARE * concentration)))


def canary_turn(state: RolloutState) -> int:
    """The number of the turn whose servers get the share."""
    return int(state.elapsed_ms / (state.over_ms * TURN))


def is_loaded(state: RolloutState) -> bool:
    """Are the canary's servers kept busier than usual just now? Slow answers say nothing then."""
    return state.phase == RUNNING and state.share <= MOST_CANARY_SHARE and canary_turn(state) % 2 == 0
