"""Changes of the member set: one member at a time is let in, in another's place or beside all, or taken out.

The set is the value of a register of its own, and each change is an ordinary compare-and-set of it at a majority of the
set that it changes. Every message of the register names the sequence of its sender's set, and an acceptor answers only
those of its own set, which it has on its disk. A member that is let in does not vote until it has recovered
(`recovery.py`): its announcement is granted only by members of the new set, so that they refuse the old one from then
on, and it then reads every register from them. When it votes it settles the set, which is one more change.

Why no acknowledged value is lost
---------------------------------
Let S be the old set with N members, T the new one with M, and R those that granted the recovery's reads.

*A in S is replaced by B* (M = N). R has N // 2 + 1 members of S: those in T but B, and A itself, if it is there still
and has learned of T (it votes on nothing else any more). A quorum of S meets R in some C. C granted the announcement as
one that goes by T and refuses S from then on. So a round under S either ended at C before, and B's reads, which come
after, see it as the reads of a recovery see a first round that ended before the disk was lost; or it cannot end. A may
have its disk and vote under S for ever, having heard of nothing: no quorum of S can be had without such a C. A that has
granted has T on its disk, as the grant waited for that record, and never votes under S again. It grants to one disk of
B alone, which T names: if B votes, and loses its disk before the set is settled, what it had accepted under T may be
held by one other member and is not known to A. B then asks for another disk, is refused by A, and reads from N // 2 + 1
members of T, which meet T's quorums as those of any recovery do. A process of B that starts on the named disk and has
to recover has never voted under T: the disk's name is written before, in the same file, and the identity of a voting
acceptor last. So it may read from A however often it starts.

*B is added* (M = N + 1). A quorum of S has N // 2 + 1 of N members, R has (M + 1) // 2 = N // 2 + 1 of the same N: they
meet.

*Rounds under T* are led by proposers that know T, and T's quorums without B meet those of S: N // 2 + 1 and N // 2 of
N - 1 where A was replaced, (N + 1) // 2 + 1 and N // 2 + 1 of N where B was added. They meet R alike, which has N // 2
members of these N - 1 at least, and N // 2 + 1 of the N. Those with B are of use only after B has recovered.

*A in S is taken out* (M = N - 1, N at least 4). No register is read anew by this alone, so a value that was chosen
under S may be held by N // 2 members of T, which two removals in a row could leave without a quorum of the last set. So
T is not settled before each register has been chosen again under T, or was read under T from a quorum that has accepted
one ballot. A quorum of S without A has N // 2 members of T, one of T has (N - 1) // 2 + 1, together N, and T has N - 1:
they meet, so that read finds what was chosen under S, and a round under S that has not ended by then cannot end any
more. A member B of T that loses its disk before T is settled recovers from M // 2 + 1 others: a quorum of S without A
and B has N // 2 - 1 of the N - 2 others, and (N - 1) // 2 + 1 more are too many for them not to meet. Until T is
settled as many of its members may lose their disks as afterwards, (M - 1) // 2.

*One change after another.* The next change is made of a settled set only, when rounds under S cannot end any more. The
exception is B itself: it may be replaced while it is joining, as its successor's R meets the quorums of S and those of
T alike.

A member that was replaced and is let in again recovers anew, whatever its disk holds. While a member is joining, as
many others may be lost as before it was let in, less the one whose place it takes. If that one is there until the
newcomer votes it counts as before, since the newcomer may read from it. A set with an even number of members bears the
loss of no more than the next smaller odd one.
"""

from __future__ import annotations

from collections.abc import Callable

from iristrack.register.proposer import Refuse, Unchanged
from iristrack.wire.messages import FOUNDED, MembersValue
from iristrack.wire.values import decode_value, encode_value

MAX_MEMBERS = 9
MIN_MEMBERS = 3  # two members bear no loss, as one does
SET_DIFFERS = "another member set is current"


class MemberSetError(ValueError):
    """A change that cannot be made of this set."""


def _check_settled(members: MembersValue) -> None:
    if members.joining:
        raise MemberSetError(f"{members.joining} has not recovered yet")
    if members.leaving:
        raise MemberSetError(f"the registers are not written again without {members.leaving} yet")


def quorum_of(members: MembersValue) -> int:
    """How many members a round needs."""
    return len(members.members) // 2 + 1


def replaced(members: MembersValue, old: str, new: str, new_disk: str = "") -> MembersValue:
    """The set with `new` in the place of `old`; raises `MemberSetError`.

    `new_disk` names the disk for which `new` may read from `old`; without it, it reads from the others alone.
    """
    if members.joining != old:
        _check_settled(members)
    if old not in members.members or new in members.members:
        raise MemberSetError(f"{old} is no member, or {new} is one")
    kept = [member for member in members.members if member != old]
    return MembersValue(members.sequence + 1, tuple(sorted([*kept, new])), new, old, new_disk)


def added(members: MembersValue, new: str) -> MembersValue:
    """The set with `new` beside all others; raises `MemberSetError`."""
    _check_settled(members)
    if new in members.members or len(members.members) >= MAX_MEMBERS:
        raise MemberSetError(f"{new} is a member, or there are {MAX_MEMBERS}")
    return MembersValue(members.sequence + 1, tuple(sorted([*members.members, new])), new)


def removed(members: MembersValue, old: str) -> MembersValue:
    """The set without `old`, whose registers are to be written again; raises `MemberSetError`."""
    _check_settled(members)
    if old not in members.members or len(members.members) <= MIN_MEMBERS:
        raise MemberSetError(f"{old} is no member, or there are {MIN_MEMBERS} or fewer")
    kept = tuple(member for member in members.members if member != old)
    return MembersValue(members.sequence + 1, kept, leaving=old)


def is_shrinking(members: MembersValue) -> bool:
    """Was a member taken out, and are the registers not known to be written again?"""
    return members.leaving != "" and members.joining == ""


def settled(members: MembersValue) -> MembersValue:
    """The set once its joining member votes, or its registers are written again."""
    return MembersValue(members.sequence + 1, members.members)


def change_members(
    expected: MembersValue, proposed: MembersValue
) -> Callable[[bytes], bytes | Unchanged | Refuse]:
    """Put `proposed` in the place of `expected`; an empty register stands for the set of the founding."""

    def change(value: bytes) -> bytes | Unchanged | Refuse:
        current = decode_value(value, MembersValue) if value else None
        if current == proposed:
            return Unchanged()
        sequence = FOUNDED if current is None else current.sequence
        if sequence != expected.sequence:
            return Refuse(SET_DIFFERS)
        return encode_value(proposed)

    return change
