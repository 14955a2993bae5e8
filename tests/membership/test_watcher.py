from __future__ import annotations

from iristrack.membership.effects import (
    MemberBack,
    MemberLost,
    SendHeartbeat,
    SendTo,
    SuspectMember,
    TellRecords,
)
from iristrack.membership.messages import Suspicion, SuspicionAnswer
from iristrack.membership.ring import HashRing
from iristrack.membership.watcher import Watcher, WatchSettings

from .members import member

S = WatchSettings()
TICK = S.tick_ns
RING = HashRing([member(name) for name in ("me", "b", "c", "d")], 3)
PAIR = HashRing([member("me"), member("b")])


class Stage:
    """A watcher whose clock ticks, and that hears some members all the while."""

    def __init__(self, ring: HashRing = RING) -> None:
        self.now = 0
        self.watcher = Watcher("me", 0)
        self.first = self.watcher.on_ring(ring, 0)
        self.effects: list = []

    def run(self, duration: int, hears: str = "", contact: bool = True) -> list:
        found = []
        for _ in range(duration // TICK):
            self.now += TICK
            for node in hears:
                self.watcher.on_heartbeat(node, 0, self.now)
            if contact:
                self.watcher.on_contact(self.now)
            found += self.watcher.on_tick(self.now)
        return found

    def lost(self, effects: list) -> list[str]:
        return [effect.node for effect in effects if isinstance(effect, MemberLost)]


def test_heartbeats_go_to_all_watchers_at_once_and_at_their_interval() -> None:
    stage = Stage()
    everyone = {"b", "c", "d"}
    assert {e.to for e in stage.first if isinstance(e, SendHeartbeat)} == everyone
    sent = [e.to for e in stage.run(4 * S.heartbeat_ns - TICK, "bcd") if isinstance(e, SendHeartbeat)]
    assert sorted(sent) == sorted([*everyone] * 4)


def test_a_silent_member_is_suspected_and_the_other_watchers_asked() -> None:
    stage = Stage()
    assert not [e for e in stage.run(S.suspect_ns - TICK, "bc") if isinstance(e, SuspectMember)]
    effects = [e for e in stage.run(TICK, "bc") if not isinstance(e, SendHeartbeat)]
    question = Suspicion("me", "d", 0)
    assert effects[0] == SuspectMember("d", 0)
    assert set(effects[1:]) == {SendTo("b", question), SendTo("c", question)}


def test_the_word_of_a_second_watcher_confirms_a_suspicion() -> None:
    stage = Stage()
    stage.run(S.suspect_ns, "bc")
    assert stage.watcher.on_answer(SuspicionAnswer("b", "d", 0, False), stage.now) == []
    assert stage.lost(stage.run(S.hearing_ns, "bc")) == ["d"]


def test_one_who_hears_the_member_contradicts_all_who_do_not() -> None:
    stage = Stage()
    stage.run(S.suspect_ns, "bc")
    for _ in range(50):
        stage.watcher.on_answer(SuspicionAnswer("b", "d", 0, False), stage.now)
        stage.watcher.on_answer(SuspicionAnswer("c", "d", 0, True), stage.now)
        assert stage.lost(stage.run(2 * TICK, "bc")) == []


def test_a_testimony_about_an_earlier_incarnation_counts_for_nothing() -> None:
    stage = Stage()
    stage.watcher.on_heartbeat("d", 4, 0)
    stage.run(S.suspect_ns, "bc")
    stage.watcher.on_answer(SuspicionAnswer("b", "d", 3, False), stage.now)
    assert stage.lost(stage.run(2 * S.hearing_ns, "bc")) == []


def test_a_member_that_is_heard_again_is_back() -> None:
    stage = Stage()
    stage.run(S.suspect_ns, "bc")
    assert stage.watcher.on_heartbeat("d", 0, stage.now) == [MemberBack("d")]
    stage.watcher.on_answer(SuspicionAnswer("b", "d", 0, False), stage.now)
    assert stage.lost(stage.run(S.hearing_ns, "bc")) == []


def test_without_other_watchers_a_longer_silence_confirms_it() -> None:
    stage = Stage(PAIR)
    assert stage.lost(stage.run(S.alone_ns - TICK)) == []
    assert stage.lost(stage.run(TICK)) == ["b"]


def test_where_nobody_answers_a_much_longer_silence_confirms_it() -> None:
    stage = Stage()
    assert stage.lost(stage.run(S.unanswered_ns - TICK, "bc")) == []
    assert stage.lost(stage.run(TICK, "bc")) == ["d"]


def test_a_watcher_that_was_held_up_doubts_itself_first() -> None:
    stage = Stage()
    stage.run(S.suspect_ns - TICK, "bcd")
    stage.now += 5 * S.unanswered_ns
    assert stage.watcher.on_answer(SuspicionAnswer("b", "d", 0, False), stage.now) == []
    assert stage.watcher.on_suspicion(Suspicion("c", "d", 0), stage.now) == []
    effects = stage.run(S.doubt_ns)
    assert not [e for e in effects if isinstance(e, SuspectMember | MemberLost | SendTo)]
    assert [e for e in effects if isinstance(e, SendHeartbeat)]
    assert "d" in [e.node for e in stage.run(2 * TICK, "bc") if isinstance(e, SuspectMember)]


def test_a_watcher_that_hears_nobody_suspects_nobody_until_it_has_heard_others_for_a_while() -> None:
    stage = Stage()
    assert not [e for e in stage.run(10 * S.unanswered_ns, contact=False) if isinstance(e, SuspectMember)]
    assert stage.watcher.doubts_itself(stage.now)
    assert not [e for e in stage.run(S.doubt_ns - 2 * TICK, "bc") if isinstance(e, SuspectMember)]
    assert [e.node for e in stage.run(4 * TICK, "bc") if isinstance(e, SuspectMember)] == ["d"]


def test_a_watcher_that_is_asked_says_what_it_has_heard() -> None:
    stage = Stage()
    question = Suspicion("b", "d", 0)
    assert stage.watcher.on_suspicion(question, stage.now) == []
    stage.run(TICK, "bcd")
    assert stage.watcher.on_suspicion(question, stage.now) == [
        SendTo("b", SuspicionAnswer("me", "d", 0, True))
    ]
    stage.run(S.confirm_ns, "bc")
    assert stage.watcher.on_suspicion(question, stage.now) == [
        SendTo("b", SuspicionAnswer("me", "d", 0, False))
    ]
    assert stage.watcher.on_suspicion(Suspicion("b", "stranger", 0), stage.now) == []


def test_one_that_doubts_itself_still_vouches_for_whom_it_has_heard_since() -> None:
    stage = Stage()
    stage.run(TICK, "bcd")
    stage.now += S.unanswered_ns
    stage.run(2 * TICK)
    assert stage.watcher.on_suspicion(Suspicion("b", "d", 0), stage.now) == []
    stage.run(TICK, "d")
    assert stage.watcher.doubts_itself(stage.now)
    answer = SendTo("b", SuspicionAnswer("me", "d", 0, True))
    assert stage.watcher.on_suspicion(Suspicion("b", "d", 0), stage.now) == [answer]


def test_one_that_is_taken_for_dead_is_told_so() -> None:
    stage = Stage(HashRing([member("me"), member("b", count=3)]))
    assert stage.watcher.on_heartbeat("ghost", 0, 1) == [TellRecords("ghost")]
    assert stage.watcher.on_heartbeat("b", 2, 1) == [TellRecords("b")]
    assert stage.watcher.on_heartbeat("b", 3, 1) == []


def test_a_new_ring_keeps_the_clocks_of_those_still_watched() -> None:
    stage = Stage()
    stage.run(S.suspect_ns - 2 * TICK, "bc")
    stage.watcher.on_ring(HashRing([member(name) for name in ("me", "c", "d")], 3), stage.now)
    assert set(stage.watcher.watched) == {"c", "d"}
    assert "d" in [e.node for e in stage.run(2 * TICK, "c") if isinstance(e, SuspectMember)]
