"""Where the operators' commands read from: running control planes, or one's disk folder.

Both give the same types. Nothing is written anywhere: the only calls are `GET`s, and a folder is only read.
"""

from __future__ import annotations

import http.client
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol
from urllib.parse import quote

from iristrack.controlplane import status
from iristrack.controlplane.register_host import MEMBERS_BLOB
from iristrack.controlplane.status import MemberStatus, SystemStatus, TopicStatus
from iristrack.engines.rollouts import FULL_SHARE
from iristrack.register import Acceptor, RegisterState
from iristrack.relay import topics
from iristrack.store.acceptor_reader import AcceptorStoreView, read_acceptor_store
from iristrack.store.acceptor_store import AcceptorStoreError
from iristrack.wire.messages import ConfigurationValue, DutyValue, MembersValue, RolloutsValue, VersionsValue
from iristrack.wire.values import decode_value

MOST_ANSWER_BYTES = 32 << 20
STATUS_PATH = "/system/status"
STATUS_WITH_SERVERS_PATH = "/system/status?servers"
CONFIGURATION_PATH = "/config/read"
VALUE_TYPES = {
    topics.CONFIGURATION: ConfigurationValue,
    topics.VERSIONS: VersionsValue,
    topics.MEMBERS: MembersValue,
    topics.MEMBER_SET: MembersValue,
    topics.WEIGHTS_DUTY: DutyValue,
    topics.ROLLOUTS: RolloutsValue,
    topics.ROLLOUTS_DUTY: DutyValue,
}


class CommandFailed(Exception):
    """A command that cannot be carried out; `status` is the exit code, the text one line for people."""

    def __init__(self, problem: str, exit_status: int) -> None:
        """The exit codes are those of `cli.system`."""
        super().__init__(problem)
        self.status = exit_status


@dataclass(frozen=True, slots=True)
class Told:
    """A status, where it comes from, and what has to be said beside it."""

    status: SystemStatus
    origin: str
    notes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How the newest roll-out of a service stands; `share` is the part of its requests that the version gets."""

    service: str
    version: str
    phase: str
    share: float


class Source(Protocol):
    """What commands read."""

    def status(self, with_servers: bool = False) -> Told:
        """What is known of the system; raises `CommandFailed`."""

    def configuration(self) -> bytes | None:
        """The newest configuration's text, None while there is none; raises `CommandFailed`."""

    def rollout(self, service: str) -> RolloutStatus | None:
        """The newest roll-out of a service, None where it had none; raises `CommandFailed`."""


@dataclass(slots=True)
class _Answer:
    status: int
    body: bytes
    address: str


@dataclass(slots=True)
class ControlSource:
    """Running control planes, tried in turn."""

    addresses: Sequence[str]
    timeout_s: float
    no_answer: int  # exit code

    def status(self, with_servers: bool = False) -> Told:
        """Of the first control plane that tells it."""
        answer = self._get(STATUS_WITH_SERVERS_PATH if with_servers else STATUS_PATH, accepted=(200,))
        try:
            found = status.from_document(json.loads(answer.body))
        except ValueError as fault:
            raise CommandFailed(f"{answer.address}: {fault}", self.no_answer) from fault
        return Told(found, f"control plane {answer.address}")

    def configuration(self) -> bytes | None:
        """As a majority of the core has it."""
        answer = self._get(CONFIGURATION_PATH, accepted=(200, 404))
        return answer.body if answer.status == 200 else None

    def rollout(self, service: str) -> RolloutStatus | None:
        """As a majority of the core has it."""
        answer = self._get(f"/rollouts/{quote(service, safe='')}/read", accepted=(200, 404))
        if answer.status == 404:
            return None
        try:
            told = json.loads(answer.body)
            return RolloutStatus(service, told["target_version"], told["phase"], told["share"])
        except (ValueError, KeyError, TypeError) as fault:
            raise CommandFailed(f"{answer.address}: no roll-out in its answer", self.no_answer) from fault

    def _get(self, path: str, accepted: Sequence[int]) -> _Answer:
        refusals = []
        for address in self.addresses:
            try:
                answer = _call(address, path, self.timeout_s)
            except (OSError, http.client.HTTPException) as fault:
                refusals.append(f"{address}: {fault or type(fault).__name__}")
                continue
            if answer.status in accepted:
                return answer
            refusals.append(f"{address}: status {answer.status}{_message(answer.body)}")
        raise CommandFailed(f"no control plane gave {path}: {'; '.join(refusals)}", self.no_answer)


def _call(address: str, path: str, timeout_s: float) -> _Answer:
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request("GET", path, headers={"Connection": "close"})
        response = connection.getresponse()
        body = response.read(MOST_ANSWER_BYTES + 1)
        if len(body) > MOST_ANSWER_BYTES:
            raise http.client.HTTPException(f"an answer over {MOST_ANSWER_BYTES} bytes")
        return _Answer(response.status, body, address)
    finally:
        connection.close()


def _message(body: bytes) -> str:
    """What an answer's JSON says of itself, where it does."""
    try:
        told = json.loads(body)
        text = told.get("message") or told["findings"][0]["message"]
    except (ValueError, KeyError, IndexError, TypeError, AttributeError):
        return ""
    return f" ({text})"


@dataclass(slots=True)
class DiskSource:
    """A control plane's folder: what this one member has promised and accepted."""

    folder: Path
    unreadable: int  # exit code

    def status(self, with_servers: bool = False) -> Told:
        """As the disk tells it: without peers and servers, and without knowing what a majority has."""
        seen = self._read()
        values = {key: self._value(seen, key) for key in VALUE_TYPES}
        members = self._members(seen, values[topics.MEMBERS])
        found = SystemStatus(
            node="" if seen.identity is None else seen.identity.node,
            voting=seen.identity is not None and bool(members),
            incarnation=_incarnation(seen),
            members=members,
            topics=tuple(
                TopicStatus(key, value.sequence) for key, value in sorted(values.items()) if value is not None
            ),
            duties=(status.duty_status(topics.WEIGHTS_DUTY, values[topics.WEIGHTS_DUTY]),),
            configuration=status.configuration_status(values[topics.CONFIGURATION]),
            versions=status.version_statuses(values[topics.VERSIONS]),
        )
        note = "from one disk: what this member has accepted; whether a majority has it, only the running system knows"
        return Told(found, f"folder {self.folder}, {seen.file}", (note, *seen.notes))

    def configuration(self) -> bytes | None:
        """As this member has accepted it."""
        value = self._value(self._read(), topics.CONFIGURATION)
        return value.body if value is not None and value.body else None

    def rollout(self, service: str) -> RolloutStatus | None:
        """As this member has accepted it."""
        value = self._value(self._read(), topics.ROLLOUTS)
        states = () if value is None else value.rollouts
        state = next((state for state in states if state.service == service), None)
        if state is None:
            return None
        return RolloutStatus(service, state.version, state.phase, state.share / FULL_SHARE)

    def _read(self) -> AcceptorStoreView:
        try:
            return read_acceptor_store(str(self.folder))
        except (AcceptorStoreError, OSError) as fault:
            problem = f"{self.folder}: {fault.strerror}" if isinstance(fault, OSError) else str(fault)
            raise CommandFailed(problem, self.unreadable) from fault

    @staticmethod
    def _value(seen: AcceptorStoreView, key: str):
        cell = seen.registers.get(key)
        return None if cell is None else decode_value(cell.value, VALUE_TYPES[key])

    @staticmethod
    def _members(seen: AcceptorStoreView, agreed: MembersValue | None) -> tuple[MemberStatus, ...]:
        kept = decode_value(seen.blobs.get(MEMBERS_BLOB, b""), MembersValue)
        newest = max(filter(None, (kept, agreed)), key=lambda value: value.sequence, default=None)
        return () if newest is None else tuple(map(MemberStatus, sorted(newest.members)))


def _incarnation(seen: AcceptorStoreView) -> str:
    """As the acceptor would tell it."""
    if seen.identity is None:
        return ""
    cells = {key: RegisterState(r.promised, r.accepted, r.value) for key, r in seen.registers.items()}
    return Acceptor(
        seen.identity.node, seen.identity.incarnation, cells, True, keys=topics.REGISTERS
    ).incarnation
