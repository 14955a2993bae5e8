"""Compare the index with a naive one, and with holders whose events are delayed, lost or reset by a restart."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from iristrack.prefix_index.index import PROVISIONAL_NS, PrefixIndex
from iristrack.prefix_index.kv_events import EventsAnswer, KeptEvent, KeptPart, ListAnswer
from iristrack.prefix_index.parts import Part

MODEL = "m"
HOLDER_NAMES = ["h0", "h1", "h2"]
SALTS = ["v1/a", "v1/b", "v2/a"]
LENGTHS = {"a": 8, "b": 4, "c": 2, "d": 1}
PROMPTS = [
    tuple(Part(part_id, LENGTHS[part_id]) for part_id in ids) for ids in ("abcd", "abd", "ba", "c", "")
]

HOLDERS = st.sampled_from(HOLDER_NAMES)
KEPT = st.tuples(st.sampled_from(SALTS), st.sampled_from(sorted(LENGTHS)), st.integers(0, 9))
OWNED = st.lists(KEPT, max_size=5, unique_by=lambda kept: kept[:2])


@dataclass
class Known:
    """One entry of the naive index."""

    holder: str
    salt: str
    part_id: str
    tokens: int
    reported: int = 0  # tokens to restore on expiry
    deadline: int | None = None


class NaiveIndex:
    """One list in the order of use, least recently touched first, that every call scans."""

    def __init__(self, most_entries: int) -> None:
        self.most_entries = most_entries
        self.entries: list[Known] = []
        self.evicted = 0
        self.cursors: dict[str, tuple[int, int]] = {}

    def find(self, holder: str, salt: str, part_id: str) -> Known | None:
        for entry in self.entries:
            if (entry.holder, entry.salt, entry.part_id) == (holder, salt, part_id):
                return entry
        return None

    def put(self, new: Known) -> None:
        old = self.find(new.holder, new.salt, new.part_id)
        if old is not None:
            self.entries.remove(old)
        if len(self.entries) == self.most_entries:
            self.entries.pop(0)
            self.evicted += 1
        self.entries.append(new)

    def expire(self, now: int) -> None:
        for entry in list(self.entries):
            if entry.deadline is None or entry.deadline > now:
                continue
            if entry.reported:
                entry.tokens, entry.deadline = entry.reported, None
            else:
                self.entries.remove(entry)

    def drop_holder(self, holder: str) -> None:
        self.entries = [entry for entry in self.entries if entry.holder != holder]

    def report(self, holder: str, salt: str, part_id: str, tokens: int) -> None:
        if tokens:
            self.put(Known(holder, salt, part_id, tokens))
        elif (old := self.find(holder, salt, part_id)) is not None:
            self.entries.remove(old)

    def send(self, holder: str, salt: str, parts: tuple[Part, ...], now: int) -> None:
        for part in reversed(parts):
            old = self.find(holder, salt, part.id)
            reported = 0 if old is None else old.tokens if old.deadline is None else old.reported
            if reported >= part.tokens:
                self.put(old)
            else:
                self.put(Known(holder, salt, part.id, part.tokens, reported, now + PROVISIONAL_NS))

    def kept_tokens(self, holder: str, salt: str, parts: tuple[Part, ...]) -> int:
        total = 0
        for part in parts:
            entry = self.find(holder, salt, part.id)
            kept = min(entry.tokens, part.tokens) if entry else 0
            total += kept
            if kept < part.tokens:
                break
        return total


class AgainstTheNaiveIndex(RuleBasedStateMachine):
    """Both indexes have the same content after any reports, requests and removals, also when full."""

    @initialize(most_entries=st.integers(1, 12))
    def start(self, most_entries: int) -> None:
        self.index = PrefixIndex(most_entries)
        self.naive = NaiveIndex(most_entries)
        self.now = 0

    @rule(
        holder=HOLDERS,
        kept=st.lists(KEPT, max_size=5),
        repeated=st.integers(0, 4),
        skipped=st.integers(0, 2),
        lost=st.booleans(),
    )
    def events(self, holder: str, kept: list, repeated: int, skipped: int, lost: bool) -> None:
        epoch, since = self.naive.cursors.get(holder, (1, 0))
        first = max(1, since + 1 - repeated + skipped)
        numbered = list(enumerate(kept, first))
        next_token = first + len(kept) - 1
        self.index.apply_events(holder, self.answer(epoch, next_token, lost, numbered), self.now)
        self.naive.expire(self.now)
        known_to = 0 if lost or holder not in self.naive.cursors else since
        for number, one in numbered:
            if number > known_to:
                self.naive.report(holder, *one)
        self.naive.cursors[holder] = (epoch, max(known_to, next_token))

    @rule(holder=HOLDERS, kept=st.lists(KEPT, max_size=5))
    def restart(self, holder: str, kept: list) -> None:
        epoch = self.naive.cursors.get(holder, (1, 0))[0] + 1
        was_known = holder in self.naive.cursors
        self.index.apply_events(
            holder, self.answer(epoch, len(kept), False, list(enumerate(kept, 1))), self.now
        )
        self.naive.expire(self.now)
        if was_known:
            self.naive.drop_holder(holder)
        for one in kept:
            self.naive.report(holder, *one)
        self.naive.cursors[holder] = (epoch, 0 if was_known else len(kept))

    @rule(holder=HOLDERS, owned=OWNED, epoch=st.integers(1, 3), next_token=st.integers(0, 20))
    def listed(self, holder: str, owned: list, epoch: int, next_token: int) -> None:
        parts = tuple(KeptPart(salt, part_id, tokens, MODEL) for salt, part_id, tokens in owned)
        self.index.apply_list(holder, ListAnswer(epoch, next_token, parts), self.now)
        self.naive.expire(self.now)
        self.naive.drop_holder(holder)
        for one in owned:
            self.naive.report(holder, *one)
        self.naive.cursors[holder] = (epoch, next_token)

    @rule(holder=HOLDERS, salt=st.sampled_from(SALTS), parts=st.sampled_from(PROMPTS))
    def send(self, holder: str, salt: str, parts: tuple[Part, ...]) -> None:
        self.index.record_sent(holder, salt, MODEL, parts, self.now)
        self.naive.expire(self.now)
        self.naive.send(holder, salt, parts, self.now)

    @rule(step=st.sampled_from([1, PROVISIONAL_NS // 2, PROVISIONAL_NS]))
    def wait(self, step: int) -> None:
        self.now += step
        self.index.expire(self.now)
        self.naive.expire(self.now)

    @rule(holder=HOLDERS)
    def forget(self, holder: str) -> None:
        self.index.forget(holder)
        self.naive.drop_holder(holder)
        self.naive.cursors.pop(holder, None)

    @invariant()
    def both_have_the_same_content(self) -> None:
        assert self.index.entries == len(self.naive.entries) <= self.naive.most_entries
        assert self.index.evicted == self.naive.evicted
        assert self.index.provisional == sum(entry.deadline is not None for entry in self.naive.entries)
        for holder, cursor in self.naive.cursors.items():
            assert self.index.cursor(holder) == cursor
        for salt in SALTS:
            for parts in PROMPTS:
                self.check_same_coverage(salt, parts)

    def check_same_coverage(self, salt: str, parts: tuple[Part, ...]) -> None:
        expected = {holder: self.naive.kept_tokens(holder, salt, parts) for holder in HOLDER_NAMES}
        assert self.index.coverage(salt, MODEL, parts, HOLDER_NAMES) == expected
        best_tokens = max(expected.values())
        first = next((holder for holder in HOLDER_NAMES if expected[holder] == best_tokens), None)
        best = self.index.best_source(salt, MODEL, parts, HOLDER_NAMES, 1)
        assert best == (first if best_tokens else None)
        for holder in HOLDER_NAMES:
            assert self.index.kept_tokens(holder, salt, MODEL, parts) == expected[holder]

    @staticmethod
    def answer(epoch: int, next_token: int, lost: bool, numbered: list) -> EventsAnswer:
        events = tuple(
            KeptEvent(number, tokens > 0, salt, part_id, tokens, MODEL)
            for number, (salt, part_id, tokens) in numbered
        )
        return EventsAnswer(epoch, next_token, lost, events)


class SimulatedHolder:
    """A holder that keeps parts, numbers its events and retains the newest ones."""

    RETAINED = 6

    def __init__(self) -> None:
        self.epoch = 1
        self.restart()

    def restart(self) -> None:
        self.epoch += 1
        self.kept: dict[tuple[str, str], int] = {}
        self.log: list[KeptEvent] = []

    def change(self, salt: str, part_id: str, tokens: int) -> None:
        added = tokens > self.kept.get((salt, part_id), 0)
        self.kept[salt, part_id] = tokens
        self.log.append(KeptEvent(len(self.log) + 1, added, salt, part_id, tokens, MODEL))

    def events(self, since: int, delayed: int = 0) -> EventsAnswer:
        """Return all events after `since` except the newest `delayed`."""
        shown = self.log[: len(self.log) - delayed]
        retained = shown[-self.RETAINED :]
        lost = bool(retained) and since + 1 < retained[0].number
        later = tuple(event for event in retained if event.number > since)
        return EventsAnswer(self.epoch, len(shown), lost, later)

    def list(self) -> ListAnswer:
        owned = tuple(KeptPart(salt, part_id, tokens, MODEL) for (salt, part_id), tokens in self.kept.items())
        return ListAnswer(self.epoch, len(self.log), owned)


class AgainstHolders(RuleBasedStateMachine):
    """After late, lost or wrong reports, an index that has caught up knows what each holder keeps."""

    @initialize()
    def start(self) -> None:
        self.index = PrefixIndex(1000)
        self.holders = {name: SimulatedHolder() for name in HOLDER_NAMES}
        self.in_flight: list[tuple[str, EventsAnswer]] = []
        self.now = 0

    @rule(holder=HOLDERS, kept=KEPT)
    def change(self, holder: str, kept: tuple[str, str, int]) -> None:
        self.holders[holder].change(*kept)

    @rule(holder=HOLDERS)
    def restart(self, holder: str) -> None:
        self.holders[holder].restart()

    @rule(holder=HOLDERS, delayed=st.integers(0, 3))
    def ask(self, holder: str, delayed: int) -> None:
        answer = self.holders[holder].events(self.index.cursor(holder).since, delayed)
        self.index.apply_events(holder, answer, self.now)

    @rule(holder=HOLDERS)
    def ask_and_apply_later(self, holder: str) -> None:
        self.in_flight.append((holder, self.holders[holder].events(self.index.cursor(holder).since)))

    @rule()
    def apply_delayed(self) -> None:
        if self.in_flight:
            self.index.apply_events(*self.in_flight.pop(), self.now)

    @rule(holder=HOLDERS)
    def list(self, holder: str) -> None:
        self.index.apply_list(holder, self.holders[holder].list(), self.now)

    @rule(holder=HOLDERS, salt=st.sampled_from(SALTS), parts=st.sampled_from(PROMPTS))
    def send(self, holder: str, salt: str, parts: tuple[Part, ...]) -> None:
        self.index.record_sent(holder, salt, MODEL, parts, self.now)

    @rule(holder=HOLDERS)
    def catch_up(self, holder: str) -> None:
        """Apply two more answers, since events are requested again after a restart, and a list if events are lost."""
        self.now += PROVISIONAL_NS
        self.index.expire(self.now)
        for _ in range(2):
            answer = self.holders[holder].events(self.index.cursor(holder).since)
            self.index.apply_events(holder, answer, self.now)
        if self.index.uncertain_since(holder) is not None:
            self.index.apply_list(holder, self.holders[holder].list(), self.now)
        self.check_what_is_kept(holder)

    def check_what_is_kept(self, holder: str) -> None:
        for salt in SALTS:
            for part_id in LENGTHS:
                entry = self.index.entry(holder, salt, MODEL, part_id)
                known = 0 if entry is None else entry.tokens
                assert known == self.holders[holder].kept.get((salt, part_id), 0)


TestAgainstTheNaiveIndex = AgainstTheNaiveIndex.TestCase
TestAgainstHolders = AgainstHolders.TestCase
