"""Compare-and-set registers (CASPaxos, Rystsov): one value per key, without a log and without a leader.

Any proposer can change a value, conditional on the expected value, in two rounds at a majority of the core members. The
classes in this package make decisions only: they use no clock, no socket and no file. Times are in nanoseconds.
"""

from iristrack.register.acceptor import RECOVERY_KEY, Acceptor, Outcome, RegisterRecord, RegisterState
from iristrack.register.effects import Effect, Finished, SendTo, SetTimer
from iristrack.register.identity import ProposerIdentity
from iristrack.register.member_set import (
    MAX_MEMBERS,
    MemberSetError,
    added,
    change_members,
    is_shrinking,
    quorum_of,
    removed,
    replaced,
    settled,
)
from iristrack.register.proposer import (
    Change,
    Committed,
    Overtaken,
    Proposer,
    ProposerResult,
    Refuse,
    Rejected,
    RetryPolicy,
    Unavailable,
    Unchanged,
)
from iristrack.register.recovery import Recovered, Recovery, RecoveryRetryPolicy

__all__ = [
    "MAX_MEMBERS",
    "RECOVERY_KEY",
    "Acceptor",
    "Change",
    "Committed",
    "Effect",
    "Finished",
    "MemberSetError",
    "Outcome",
    "Overtaken",
    "Proposer",
    "ProposerIdentity",
    "ProposerResult",
    "Recovered",
    "Recovery",
    "RecoveryRetryPolicy",
    "Refuse",
    "RegisterRecord",
    "RegisterState",
    "Rejected",
    "RetryPolicy",
    "SendTo",
    "SetTimer",
    "Unavailable",
    "Unchanged",
    "added",
    "change_members",
    "is_shrinking",
    "quorum_of",
    "removed",
    "replaced",
    "settled",
]
