from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from iristrack.register import RECOVERY_KEY, Acceptor, RegisterRecord, RegisterState
from iristrack.wire.messages import NO_BALLOT, Accept, Ballot, Prepare

KEY = "config"
LOW, MIDDLE, HIGH = Ballot(1, "p"), Ballot(2, "p"), Ballot(3, "p")


def acceptor(states: dict[str, RegisterState] | None = None, voting: bool = True) -> Acceptor:
    return Acceptor("core0", "disk1", states or {}, voting, keys=(KEY,))


def accept(ballot: Ballot, incarnation: str = "", value: bytes = b"v") -> Accept:
    return Accept(7, KEY, ballot, incarnation, value)


def test_a_promise_echoes_the_call_and_reports_the_accepted_value() -> None:
    outcome = acceptor({KEY: RegisterState(LOW, LOW, b"old")}).handle_prepare(Prepare(9, KEY, MIDDLE))
    assert outcome.record == RegisterRecord(KEY, MIDDLE, LOW, b"old")
    reply = outcome.reply
    assert (reply.call, reply.key, reply.acceptor, reply.incarnation) == (9, KEY, "core0", "disk1")
    assert (reply.granted, reply.promised, reply.accepted, reply.value) == (True, MIDDLE, LOW, b"old")


def test_a_lower_ballot_is_refused_without_a_write_and_with_the_promised_ballot() -> None:
    core = acceptor({KEY: RegisterState(HIGH)})
    for outcome in (core.handle_prepare(Prepare(1, KEY, MIDDLE)), core.handle_accept(accept(MIDDLE))):
        assert outcome.record is None
        assert not outcome.reply.granted
        assert outcome.reply.promised == HIGH


def test_equal_rounds_are_ordered_by_proposer_name() -> None:
    core = acceptor({KEY: RegisterState(Ballot(2, "b"))})
    assert not core.handle_prepare(Prepare(1, KEY, Ballot(2, "a"))).reply.granted
    assert core.handle_prepare(Prepare(1, KEY, Ballot(2, "c"))).reply.granted


def test_a_repeated_prepare_is_granted_again_with_its_record() -> None:
    core = acceptor()
    first = core.handle_prepare(Prepare(1, KEY, LOW))
    assert core.handle_prepare(Prepare(1, KEY, LOW)) == first


def test_decisions_use_the_state_in_memory_before_it_is_written() -> None:
    core = acceptor()
    core.handle_prepare(Prepare(1, KEY, HIGH))  # its record is not written yet
    assert not core.handle_accept(accept(MIDDLE)).reply.granted


def test_a_replaced_acceptor_serves_one_disk_and_accepts_nothing() -> None:
    core = acceptor({KEY: RegisterState(LOW, LOW, b"old")})
    core.serve_successor(2, "named")
    first, second, later = Ballot(5, "d/1"), Ballot(9, "d/2"), Ballot(11, "d/3")
    for disk in ("", "other"):
        assert not core.handle_prepare(Prepare(1, RECOVERY_KEY, first, 2, disk)).reply.granted
    assert core.handle_prepare(Prepare(1, RECOVERY_KEY, first, 2, "named")).reply.granted
    assert not core.handle_prepare(Prepare(1, RECOVERY_KEY, second, 2, "other")).reply.granted
    assert not core.handle_prepare(Prepare(2, KEY, second, 2, "other")).reply.granted
    read = core.handle_prepare(Prepare(2, KEY, Ballot(6, "d/1"), 2, "named")).reply
    assert (read.granted, read.value) == (True, b"old")
    assert not core.handle_accept(Accept(3, KEY, Ballot(6, "d/1"), "", b"v", 2)).reply.granted
    # A process restarted on the same disk continues with its own ballot.
    assert core.handle_prepare(Prepare(4, RECOVERY_KEY, later, 2, "named")).reply.granted


def test_a_replaced_acceptor_serves_no_disk_if_the_set_names_none() -> None:
    core = acceptor({KEY: RegisterState(LOW, LOW, b"old")})
    core.serve_successor(2, "")
    for disk in ("", "any"):
        assert not core.handle_prepare(Prepare(1, RECOVERY_KEY, Ballot(5, "d/1"), 2, disk)).reply.granted


def test_an_accept_is_recorded_with_its_ballot_as_promise() -> None:
    outcome = acceptor({KEY: RegisterState(LOW)}).handle_accept(accept(MIDDLE, "disk1", b"new"))
    assert outcome.record == RegisterRecord(KEY, MIDDLE, MIDDLE, b"new")
    assert outcome.reply.granted


def test_an_accept_for_another_incarnation_is_refused() -> None:
    outcome = acceptor({KEY: RegisterState(MIDDLE)}).handle_accept(accept(MIDDLE, "disk0"))
    assert outcome.record is None
    assert not outcome.reply.granted


def test_an_accept_without_incarnation_is_decided_by_its_ballot() -> None:
    core = acceptor({KEY: RegisterState(MIDDLE)})
    assert not core.handle_accept(accept(LOW)).reply.granted
    assert core.handle_accept(accept(HIGH)).reply.granted


def test_serving_a_recovery_changes_the_reported_incarnation() -> None:
    core = acceptor()
    before = core.incarnation
    announced = core.handle_prepare(Prepare(1, RECOVERY_KEY, LOW))
    assert announced.record == RegisterRecord(RECOVERY_KEY, LOW, NO_BALLOT, b"")
    assert announced.reply.incarnation == core.incarnation != before
    assert not core.handle_accept(accept(HIGH, before)).reply.granted
    assert core.handle_prepare(Prepare(2, KEY, LOW)).reply.incarnation == core.incarnation


def test_the_reported_incarnation_survives_a_restart() -> None:
    core = acceptor()
    core.handle_prepare(Prepare(1, RECOVERY_KEY, LOW))
    restarted = acceptor({RECOVERY_KEY: core.state(RECOVERY_KEY)})
    assert restarted.incarnation == core.incarnation


def test_nothing_is_accepted_on_the_recovery_key() -> None:
    assert not acceptor().handle_accept(Accept(1, RECOVERY_KEY, HIGH, "", b"v")).reply.granted


def assert_gives_no_vote(core: Acceptor, key: str) -> None:
    for outcome in (
        core.handle_prepare(Prepare(1, key, HIGH)),
        core.handle_accept(Accept(1, key, HIGH, "", b"v")),
    ):
        assert outcome.record is None
        assert not outcome.reply.granted
        assert outcome.reply.promised == NO_BALLOT


def test_a_non_voting_acceptor_gives_no_vote() -> None:
    core = acceptor({KEY: RegisterState(LOW, LOW, b"v")}, voting=False)
    assert_gives_no_vote(core, KEY)
    assert_gives_no_vote(core, RECOVERY_KEY)


def test_an_unknown_key_gets_no_vote() -> None:
    assert_gives_no_vote(acceptor(), "unheard")


def test_no_vote_is_given_after_a_failed_write() -> None:
    core = acceptor()
    core.write_failed()
    assert_gives_no_vote(core, KEY)


BALLOTS = st.builds(Ballot, st.integers(0, 6), st.sampled_from(["", "a", "b"]))


class AcceptorMachine(RuleBasedStateMachine):
    """Random messages and crashes that keep only written records: promises only rise and are never broken."""

    def __init__(self) -> None:
        super().__init__()
        self.disk: dict[str, RegisterState] = {}
        self.unsynced: list[tuple[RegisterRecord | None, Ballot]] = []
        self.core = acceptor()
        self.released = NO_BALLOT  # the highest ballot promised or accepted in a released reply

    def submit(self, outcome, ballot: Ballot) -> None:
        assert (outcome.record is not None) == outcome.reply.granted
        if outcome.reply.granted:
            assert ballot >= self.released
            self.unsynced.append((outcome.record, ballot))
        else:
            assert outcome.reply.promised >= self.released

    @rule(ballot=BALLOTS)
    def prepare(self, ballot: Ballot) -> None:
        self.submit(self.core.handle_prepare(Prepare(1, KEY, ballot)), ballot)

    @rule(ballot=BALLOTS, incarnation=st.sampled_from(["", "disk1", "disk0"]))
    def accept(self, ballot: Ballot, incarnation: str) -> None:
        outcome = self.core.handle_accept(accept(ballot, incarnation))
        assert not (outcome.reply.granted and incarnation == "disk0")
        self.submit(outcome, ballot)

    @rule()
    def sync_one(self) -> None:
        if self.unsynced:
            record, ballot = self.unsynced.pop(0)
            self.disk[record.key] = RegisterState(record.promised, record.accepted, record.value)
            self.released = max(self.released, ballot)

    @rule()
    def crash_and_restart(self) -> None:
        self.unsynced = []
        self.core = acceptor(self.disk)

    @invariant()
    def memory_respects_all_released_replies(self) -> None:
        state = self.core.state(KEY)
        assert state.promised >= self.released
        assert state.accepted <= state.promised


TestAcceptorMachine = AcceptorMachine.TestCase
TestAcceptorMachine.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None, database=None
)


def test_a_promise_omits_only_a_value_that_the_sender_knows() -> None:
    core = acceptor({KEY: RegisterState(LOW, LOW, b"old")})
    for known, value in ((LOW, b""), (NO_BALLOT, b"old"), (MIDDLE, b"old")):
        reply = core.handle_prepare(Prepare(1, KEY, HIGH, known=known)).reply
        assert (reply.granted, reply.accepted, reply.value) == (True, LOW, value)
    assert (
        core.handle_prepare(Prepare(1, KEY, LOW)).reply.value == b""
    )  # not granted: the proposer ignores the value
