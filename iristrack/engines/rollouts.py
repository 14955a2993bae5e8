"""Stages of one roll-out: which share of a service's traffic the new version gets, and how it ends. No I/O.

    waiting     no server of the new version is ready: its share is 0
    canary      a small share, sent to so few of its servers that each is about as busy as with full traffic; to half as
                many in every other turn, and to different servers in each turn
    steps       the share rises quickly to the full share
    full        all traffic, until the old version's servers have nothing in flight
    finished    the old version's servers may stop
    reverted    from any stage, if the evidence shows that the version is bad: its share is 0 from then on

The share is low for most of the time and rises late. The requests that a bad version may get are limited over the whole
period from the order to its deadline, and a version may turn bad late. Times are fractions of that period.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from iristrack.wire.messages import RolloutState

RUNNING, FINISHED, REVERTED = "running", "finished", "reverted"
FULL_SHARE = 1000  # shares are in thousandths
MIN_CANARY_SHARE = 40
MAX_CANARY_SHARE = 120
CANARY_END = 0.55  # time
CANARY_BUDGET_RATIO = 0.3  # part of the requests that a bad version may get; the steps need the rest
RATE_KNOWN_NS = (
    2_000_000_000  # since the order; earlier there are too few answers to estimate the request rate
)
STEPS = ((0.55, 100), (0.60, 200), (0.65, 450), (0.70, FULL_SHARE))  # time, and the share from then on
MIN_ANSWER_COUNT = 20  # of the new version before its share rises, waited for until `ANSWER_WAIT_END` at most
ANSWER_WAIT_END = 0.62  # time
NS_PER_MS = 1_000_000
MIN_FULL_SHARE_NS = 1500 * NS_PER_MS  # at the full share before the roll-out may finish
FORCED_FINISH = 0.93  # time from which it finishes even with requests in flight at the old version's servers
CONCENTRATION = (
    0.8  # of the servers that a share corresponds to, so that they are slightly busier than normal
)
LOADED_CONCENTRATION = (
    0.4  # the same in every other turn of a canary, since a version may be bad only under load
)
TURN_DURATION = 0.11  # time after which a canary moves to other servers, since one may be faulty by itself


@dataclass(frozen=True, slots=True)
class RolloutObservation:
    """The state of one roll-out as observed by the process that holds the duty."""

    elapsed_ns: int  # since the order
    full_share_ns: int  # since the new version got the full share; 0 if it has not
    new_ready: int  # servers of the new version that are ready
    old_ready: int
    answers: int  # of the new version so far
    old_inflight: int  # requests in flight at servers of the old version
    is_bad: bool
    all_answers: int = 0  # of both versions since the order
    max_bad_share: float = 0.1  # of all requests until the deadline that a bad version may get
    bad_request_slack: float = 50  # requests allowed on top of that share


def next_state(state: RolloutState, observation: RolloutObservation) -> RolloutState:
    """Return the next state, or the same one if nothing changes."""
    if state.phase != RUNNING:
        return state
    if observation.is_bad:
        return replace(state, phase=REVERTED, share=0)
    if state.share >= FULL_SHARE:
        return replace(state, phase=FINISHED) if _may_finish(state, observation) else state
    return replace(state, share=max(state.share, _share(state, observation)))


def _share(state: RolloutState, observation: RolloutObservation) -> int:
    if observation.new_ready == 0:
        return 0
    if observation.old_ready == 0:
        return FULL_SHARE
    time = observation.elapsed_ns / (state.over_ms * NS_PER_MS)
    if time < CANARY_END or (observation.answers < MIN_ANSWER_COUNT and time < ANSWER_WAIT_END):
        return _canary_share(state, observation)
    steps = [share for at, share in STEPS if share > state.share and time >= at]
    return min(steps, default=MIN_CANARY_SHARE)  # one step at a time, even if earlier ones were missed


def _canary_share(state: RolloutState, observation: RolloutObservation) -> int:
    """Return the largest share within the budget, since more answers reveal a bad version sooner."""
    if observation.elapsed_ns < RATE_KNOWN_NS or not observation.all_answers:
        return MIN_CANARY_SHARE
    requests = observation.all_answers * state.over_ms * NS_PER_MS / observation.elapsed_ns
    budget = CANARY_BUDGET_RATIO * (observation.max_bad_share * requests + observation.bad_request_slack)
    return min(MAX_CANARY_SHARE, max(MIN_CANARY_SHARE, int(FULL_SHARE * budget / (requests * CANARY_END))))


def _may_finish(state: RolloutState, observation: RolloutObservation) -> bool:
    if observation.full_share_ns < MIN_FULL_SHARE_NS:
        return False
    is_late = observation.elapsed_ns >= FORCED_FINISH * state.over_ms * NS_PER_MS
    return observation.new_ready > 0 and (observation.old_inflight == 0 or is_late)


def busy_servers(servers: int, state: RolloutState) -> int:
    """Return how many of the new version's `servers` get its share of the traffic."""
    if state.share >= FULL_SHARE:
        return servers
    concentration = LOADED_CONCENTRATION if is_loaded(state) else CONCENTRATION
    return min(servers, max(1, round(servers * state.share / FULL_SHARE * concentration)))


def canary_turn(state: RolloutState) -> int:
    """Return the number of the current turn, which selects the servers that get the share."""
    return int(state.elapsed_ms / (state.over_ms * TURN_DURATION))


def is_loaded(state: RolloutState) -> bool:
    """Return whether the canary's servers are kept busier than usual now, so that slow answers prove nothing."""
    return state.phase == RUNNING and state.share <= MAX_CANARY_SHARE and canary_turn(state) % 2 == 0
