"""The referee of the registers' simulation: is what clients were told one linear history per key?

Each write proposes content of its own, made from one parent content, so that the committed values of a key form a chain
and a content's version is its length. The referee demands:

- one content per version among all that were told as committed, each on its parent;
- no operation is told a version below the highest one told before it began;
- a write whose refusal is definite is never told, neither itself nor as an ancestor;
- a last read, after all faults, descends from every acknowledged write.
"""

from __future__ import annotations

from dataclasses import dataclass

ROOT = b""  # the value of a key never written, version 0


@dataclass(frozen=True, slots=True)
class Content:
    """One proposed value and what it was made from."""

    value: bytes
    version: int
    parent: bytes


class KeyHistory:
    """What the referee knows of one key."""

    def __init__(self, key: str, violations: list[str]) -> None:
        """Start with a key never written; violations are added to the list."""
        self.key = key
        self.newest_told = 0
        self._violations = violations
        self._contents = {ROOT: Content(ROOT, 0, ROOT)}
        self._told: dict[int, bytes] = {0: ROOT}
        self._acknowledged: set[bytes] = set()
        self._refused: set[bytes] = set()

    def version_of(self, value: bytes) -> int:
        """Return the version of a proposed value."""
        return self._contents[value].version

    def proposed(self, value: bytes, parent: bytes) -> None:
        """Note that a write may take effect as this value, on this parent."""
        self._contents[value] = Content(value, self._contents[parent].version + 1, parent)

    def acknowledged(self, value: bytes) -> None:
        """Note that a writer was told that its value is committed."""
        self._acknowledged.add(value)

    def refused(self, value: bytes) -> None:
        """Note that a writer was told that this value has never been and will never be taken."""
        self._refused.add(value)
        for content in self._told.values():
            self._check_not_refused(content)

    def told(self, value: bytes, floor: int) -> None:
        """Judge a committed value told to an operation that began when `floor` was the newest version told."""
        content = self._contents.get(value)
        if content is None:
            self._add(f"{value!r} was never proposed")
            return
        if content.version < floor:
            self._add(f"version {content.version} was told after version {floor}")
        self._place(content)
        if content.version > 0:
            self._place(self._contents[content.parent])
        self.newest_told = max(self.newest_told, content.version)

    def last_read(self, value: bytes) -> None:
        """Judge the value read after all faults."""
        self.told(value, self.newest_told)
        ancestry = {ROOT}
        while value != ROOT:
            ancestry.add(value)
            self._check_not_refused(value)
            value = self._contents[value].parent
        for lost in sorted(self._acknowledged - ancestry):
            self._add(f"acknowledged {lost!r} is lost")

    def _place(self, content: Content) -> None:
        standing = self._told.setdefault(content.version, content.value)
        if standing != content.value:
            self._add(f"version {content.version} is both {standing!r} and {content.value!r}")
        self._check_not_refused(content.value)

    def _check_not_refused(self, value: bytes) -> None:
        if value in self._refused:
            self._add(f"{value!r} was refused for good and is there")

    def _add(self, text: str) -> None:
        self._violations.append(f"{self.key}: {text}")


class Referee:
    """The histories of all keys and the violations found."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        """Start with keys never written."""
        self.violations: list[str] = []
        self.histories = {key: KeyHistory(key, self.violations) for key in keys}
