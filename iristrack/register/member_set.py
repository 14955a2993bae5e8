"""Changes of the member set: one member at a time replaces another, is added, or is removed.

The set is the value of its own register, and each change is an ordinary compare-and-set of it at a majority of the set
being changed. Every message of the register carries the sequence of its sender's set, and an acceptor replies only to
messages of its own set, which is stored on its disk. A joining member does not vote until it has recovered
(`recovery.py`): its announcement is granted only by members of the new set, which refuse the old one from then on, and
it then reads every register from them. Once it votes it settles the set, which is one more change.

Why no acknowledged value is lost
---------------------------------
Let S be the old set with N members, T the new one with M, and R those that granted the recovery's reads.

*A in S is replaced by B* (M = N). R has N // 2 + 1 members of S: those in T except B, and A itself, if it is still
there and has learned of T (it no longer votes on anything else). A quorum of S intersects R in some C. C granted the
announcement as a member of T and refuses S from then on. So a round under S either ended at C before that, and B's
reads, which come later, see it as the reads of a recovery see a first round that ended before the disk was lost; or it
cannot end. A may keep its disk and vote under S forever, unaware of the change: no quorum of S is possible without such
a C. If A has granted, T is on its disk, because the grant waited for that record, and A never votes under S again. A
grants to only one disk of B, the one named in T: if B votes, and loses its disk before the set is settled, what it had
accepted under T may be held by one other member and is not known to A. B then asks for another disk, is refused by A,
and reads from N // 2 + 1 members of T, which intersect T's quorums as in any recovery. A process of B that starts on
the named disk and has to recover has never voted under T: the disk's name is written first, in the same file, and the
identity of a voting acceptor last. So it may read from A regardless of how often it starts.

*B is added* (M = N + 1). A quorum of S has N // 2 + 1 of N members, R has (M + 1) // 2 = N // 2 + 1 of the same N: they
intersect.

*Rounds under T* are led by proposers that know T, and T's quorums without B intersect those of S: N // 2 + 1 and N // 2
of N - 1 if A was replaced, (N + 1) // 2 + 1 and N // 2 + 1 of N if B was added. They also intersect R, which has at
least N // 2 members of these N - 1, or N // 2 + 1 of the N. Quorums with B count only after B has recovered.

*A in S is removed* (M = N - 1, N at least 4). This alone reads no register again, so a value that was chosen under S
may be held by N // 2 members of T, and two successive removals could leave it without a quorum of the last set.
Therefore T is not settled before each register has been chosen again under T, or was read under T from a quorum that
has accepted one ballot. A quorum of S without A has N // 2 members of T, one of T has (N - 1) // 2 + 1, together N, and
T has N - 1: they intersect, so that read finds what was chosen under S, and a round under S that has not ended by then
can no longer end. A member B of T that loses its disk before T is settled recovers from M // 2 + 1 others: a quorum of
S without A and B has N // 2 - 1 of the N - 2 others, and a further (N - 1) // 2 + 1 of them must overlap it. Until T is
settled, as many of its members may lose their disks as afterwards, (M - 1) // 2.

*Successive changes.* The next change is made only to a settled set, when rounds under S can no longer end. The
exception is B itself: it may be replaced while it is joining, because its successor's R intersects the quorums of both
S and T.

A member that was replaced and is added again recovers from the start, whatever its disk holds. While a member is
joining, as many others may be lost as before it was added, minus the one that it replaces. If that one remains until
the joining member votes, it counts as before, because the joining member may read from it. A set with an even number of
members tolerates no more losses than the next smaller odd one.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.register.proposer import Refuse, Unchanged
from iristrack.wire.messages import FOUNDED, MembersValue
from iristrack.wire.values import decode_value, encode_value

MAX_MEMBERS = 9
MIN_MEMBERS = 3  # two members tolerate no loss, just like one
SET_DIFFERS = "another member set is current"


class MemberSetError(ValueError):
    """A change that is not allowed for this set."""


def _check_settled(members: MembersValue) -> None:
    if members.joining:
        raise MemberSetError(f"{members.joining} has not recovered yet")
    if members.leaving:
        raise MemberSetError(f"the registers are not rewritten without {members.leaving} yet")


def quorum_of(members: MembersValue) -> int:
    """Return the number of members that a round needs."""
    return len(members.members) // 2 + 1


def replaced(members: MembersValue, old: str, new: str, new_disk: str = "") -> MembersValue:
    """Return the set with `old` replaced by `new`; raises `MemberSetError`.

    `new_disk` names the disk for which `new` may read from `old`; without it, `new` reads only from the others.
    """
    if members.joining != old:
        _check_settled(members)
    if old not in members.members or new in members.members:
        raise MemberSetError(f"{old} is not a member, or {new} already is one")
    kept = [member for member in members.members if member != old]
    return MembersValue(members.sequence + 1, tuple(sorted([*kept, new])), new, old, new_disk)


def added(members: MembersValue, new: str) -> MembersValue:
    """Return the set with `new` added; raises `MemberSetError`."""
    _check_settled(members)
    if new in members.members or len(members.members) >= MAX_MEMBERS:
        raise MemberSetError(
            f"{new} is already a member, or the set has the maximum of {MAX_MEMBERS} members"
        )
    return MembersValue(members.sequence + 1, tuple(sorted([*members.members, new])), new)


def removed(members: MembersValue, old: str) -> MembersValue:
    """Return the set without `old`, whose registers must then be rewritten; raises `MemberSetError`."""
    _check_settled(members)
    if old not in members.members or len(members.members) <= MIN_MEMBERS:
        raise MemberSetError(f"{old} is not a member, or the set has {MIN_MEMBERS} members or fewer")
    kept = tuple(member for member in members.members if member != old)
    return MembersValue(members.sequence + 1, kept, leaving=old)


def is_shrinking(members: MembersValue) -> bool:
    """Return whether a member was removed and the registers are not yet known to be rewritten."""
    return members.leaving != "" and members.joining == ""


def settled(members: MembersValue) -> MembersValue:
    """Return the set after its joining member votes or its registers are rewritten."""
    return MembersValue(members.sequence + 1, members.members)


def change_members(
    expected: MembersValue, proposed: MembersValue
) -> Callable[[bytes], bytes | Unchanged | Refuse]:
    """Return the change from `expected` to `proposed`; an empty register stands for the founding set."""

    def change(value: bytes) -> bytes | Unchanged | Refuse:
        current = decode_value(value, MembersValue) if value else None
        if current == proposed:
            return Unchanged()
        sequence = FOUNDED if current is None else current.sequence
        if sequence != expected.sequence:
            return Refuse(SET_DIFFERS)
        return encode_value(proposed)

    return change
