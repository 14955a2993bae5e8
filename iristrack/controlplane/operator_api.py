"""The operators' API: each call is decoded into a command object, which is run at the registers."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote

from iristrack.configuration.amendment import Amendment, read_amendment
from iristrack.configuration.building import parse_services
from iristrack.configuration.document import Finding, read_configuration
from iristrack.configuration.model import MAX_REVISION, Configuration
from iristrack.controlplane import changes
from iristrack.controlplane.register_host import RegisterHost
from iristrack.controlplane.state_machine_runner import transfer_ns
from iristrack.controlplane.status_metrics import status_metrics
from iristrack.http1 import messages as http
from iristrack.http1.serving import Response
from iristrack.platform_api.metrics import CONTENT_TYPE, format_metrics
from iristrack.register import Committed, Overtaken, ProposerResult, Rejected
from iristrack.relay import topics
from iristrack.wire.messages import ConfigurationValue, RolloutsValue, Update, VersionsValue
from iristrack.wire.values import decode_value

NS_PER_MS = 1_000_000
CALL_TIMEOUT_NS = 900 * NS_PER_MS  # clients try another machine after a second without an answer
MAX_BODY_BYTES = 7 << 20  # a register's record, which holds the body and more, is limited to 8 MiB
RETRY_AFTER = b"Content-Type: application/json\r\nRetry-After: 0.3\r\n"
MAX_REVISION_DIGITS = len(str(MAX_REVISION))
BASE_HEADER = b"x-iristrack-base-version"
MAX_NAME_CHARS = 200
MAX_ROLLOUT_S = 86_400
_ROLLOUT_READ = re.compile(rb"/rollouts/([^/]+)/read\Z")


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """`POST /config/replace`."""

    configuration: Configuration
    body: bytes
    base: int


@dataclass(frozen=True, slots=True)
class AmendConfiguration:
    """`POST /config/amend`."""

    amendment: Amendment
    body: bytes
    base: int


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """`GET /config/read`."""


@dataclass(frozen=True, slots=True)
class NameVersion:
    """`POST /version-put`."""

    model: str
    revision: int


@dataclass(frozen=True, slots=True)
class BeginRollout:
    """`POST /rollouts/begin`."""

    service: str
    version: str
    over_ms: int


@dataclass(frozen=True, slots=True)
class ReadRollout:
    """`GET /rollouts/SERVICE/read`."""

    service: str


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """`GET /system/status`."""

    with_servers: bool  # `?servers`: include the platform's list


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """`GET /metrics`."""


@dataclass(frozen=True, slots=True)
class BadCall:
    """A call that is refused without running a command."""

    status: int
    findings: tuple[Finding, ...]


Command = (
    ReplaceConfiguration
    | AmendConfiguration
    | ReadConfiguration
    | NameVersion
    | BeginRollout
    | ReadRollout
    | ReadStatus
    | ReadMetrics
    | BadCall
)
MISSING_BASE = BadCall(
    400, (Finding("X-Iristrack-Base-Version", "no number", "send the version that it builds on"),)
)
Publish = Callable[[Update], None]
MakeStatus = Callable[[bool], dict]  # the argument says whether to include the servers


def decode_call(message: http.Message) -> Command:
    """Return the command for a call."""
    path, _, query = message.head.target.partition(b"?")
    method = message.head.method
    if (method, path) == (b"POST", b"/config/replace"):
        return _decode_replace(message)
    if (method, path) == (b"POST", b"/config/amend"):
        return _decode_amend(message)
    if (method, path) == (b"GET", b"/config/read"):
        return ReadConfiguration()
    if (method, path) == (b"POST", b"/version-put"):
        return _decode_version(message.body)
    if (method, path) == (b"POST", b"/rollouts/begin"):
        return _decode_rollout(message.body)
    if method == b"GET" and (found := _ROLLOUT_READ.match(path)) is not None:
        return ReadRollout(unquote(found[1].decode("latin-1")))
    if (method, path) == (b"GET", b"/system/status"):
        return ReadStatus(query == b"servers")
    if (method, path) == (b"GET", b"/metrics"):
        return ReadMetrics()
    return BadCall(404, (Finding("call", "no such call", "see the operators' page"),))


def _decode_replace(message: http.Message) -> Command:
    base = _base_version(message)
    if base is None:
        return MISSING_BASE
    result = read_configuration(message.body)
    if result.is_error():
        return BadCall(400, result.error)
    return ReplaceConfiguration(result.ok, message.body, base)


def _decode_amend(message: http.Message) -> Command:
    base = _base_version(message)
    if base is None:
        return MISSING_BASE
    result = read_amendment(message.body)
    if result.is_error():
        return BadCall(400, result.error)
    return AmendConfiguration(result.ok, message.body, base)


def _base_version(message: http.Message) -> int | None:
    digits = message.head.fields.get(BASE_HEADER, b"")
    if not digits.isdigit() or len(digits) > MAX_REVISION_DIGITS or int(digits) > MAX_REVISION:
        return None
    return int(digits)


def _decode_version(body: bytes) -> Command:
    try:
        document = json.loads(body)
        model, revision = document["model_name"], document["revision"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return BadCall(400, (Finding("body", "no JSON with model_name and revision", "send both"),))
    if not isinstance(model, str) or not model or len(model) > 200 or not _is_encodable(model):
        return BadCall(400, (Finding("model_name", "no name", "name the model"),))
    if type(revision) is not int or not 0 < revision < 1 << 62:
        return BadCall(400, (Finding("revision", "no number above 0", "send a whole number"),))
    return NameVersion(model, revision)


def _decode_rollout(body: bytes) -> Command:
    try:
        document = json.loads(body)
        service, version, over_s = document["target"], document["target_version"], document["over_s"]
    except (ValueError, KeyError, TypeError, RecursionError):
        problem = "no JSON with target, target_version and over_s"
        return BadCall(400, (Finding("body", problem, "send all three"),))
    findings = []
    for place, name in (("target", service), ("target_version", version)):
        if not isinstance(name, str) or not name or len(name) > MAX_NAME_CHARS or not _is_encodable(name):
            findings.append(Finding(place, "no name", "name the service and its version"))
    is_time = type(over_s) in (int, float) and 0 < over_s <= MAX_ROLLOUT_S
    if not is_time:
        remedy = f"send the seconds that it may take, up to {MAX_ROLLOUT_S}"
        findings.append(Finding("over_s", "no time", remedy))
    if findings:
        return BadCall(400, tuple(findings))
    return BeginRollout(service, version, max(1, int(over_s * 1000)))


def _is_encodable(value: str) -> bool:
    """Tell whether the text can be encoded in UTF-8; JSON allows lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


class OperatorApi:
    """Answers the operators' calls."""

    def __init__(
        self,
        register: RegisterHost,
        publish: Publish,
        make_status: MakeStatus,
        in_quorum: Callable[[], bool],
        log,
        repeat_ms: int = 0,
        rollouts_age_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        """Answer calls at `register`.

        `publish` sends a committed value to all processes. `in_quorum` tells whether this process has heard from a
        quorum recently. The same roll-out order is a repeat for `repeat_ms` after the first one. `rollouts_age_ms`
        returns the age of the known roll-outs.
        """
        self.repeat_ms = repeat_ms
        self.rollouts_age_ms = rollouts_age_ms
        self.in_quorum = in_quorum
        self.make_status = make_status
        self.register = register
        self.publish = publish
        self.log = log

    def answer(self, message: http.Message) -> Response:
        """Answer one call, in the task of its connection."""
        command = decode_call(message)
        if isinstance(command, BadCall):
            return _findings_response(command)
        if isinstance(command, ReadStatus):
            return Response(200, json.dumps(self.make_status(command.with_servers)).encode())
        if isinstance(command, ReadMetrics):
            return Response(200, format_metrics(status_metrics(self.make_status(False))), CONTENT_TYPE)
        if not self.in_quorum():
            return no_quorum_response()
        if isinstance(command, ReplaceConfiguration):
            return self._replace(command)
        if isinstance(command, AmendConfiguration):
            return self._amend(command)
        if isinstance(command, NameVersion):
            return self._name_version(command)
        if isinstance(command, BeginRollout):
            return self._begin_rollout(command)
        if isinstance(command, ReadRollout):
            return self._read_rollout(command)
        return self._read()

    def _replace(self, command: ReplaceConfiguration) -> Response:
        change = changes.replace_configuration(command.configuration, command.body, command.base)
        result = self._change_configuration(change, len(command.body))
        return self._answer_change(result, command.configuration.revision, command.base)

    def _amend(self, command: AmendConfiguration) -> Response:
        change = changes.AmendConfiguration(command.amendment, command.body, command.base, MAX_BODY_BYTES)
        size = len(command.body) + self.register.value_size(topics.CONFIGURATION)
        result = self._change_configuration(change, size)
        answer = self._answer_change(result, command.amendment.revision, command.base)
        if isinstance(result, Rejected | Overtaken) and result.reason == changes.INVALID:
            return _findings_response(BadCall(400, change.findings))
        return answer

    def _change_configuration(self, change: changes.Change, size: int) -> ProposerResult:
        """Change the register, whose value has about `size` bytes, and publish its value."""
        deadline = self.register.scheduler.now() + CALL_TIMEOUT_NS + transfer_ns(size)
        result = self.register.change(topics.CONFIGURATION, change, deadline)
        self._publish_configuration(result)
        return result

    def _answer_change(self, result: ProposerResult, revision: int, base: int) -> Response:
        self.log.info("configuration call", revision=revision, base=base, result=type(result).__name__)
        if isinstance(result, Committed):
            return Response(200, b'{"revision":%d}' % revision)
        if isinstance(result, Rejected | Overtaken) and result.reason != changes.BASE_FORGOTTEN:
            status = 412 if result.reason == changes.BASE_DIFFERS else 400
            return Response(status, json.dumps({"message": result.reason}).encode())
        return no_quorum_response()

    def _read(self) -> Response:
        size = self.register.value_size(topics.CONFIGURATION)
        deadline = self.register.scheduler.now() + CALL_TIMEOUT_NS + transfer_ns(size)
        result = self.register.change(topics.CONFIGURATION, changes.unchanged, deadline)
        if not isinstance(result, Committed):
            return no_quorum_response()
        value = decode_value(result.value, ConfigurationValue)
        if value is None:
            return Response(404, b'{"message":"no configuration yet"}')
        self._publish_configuration(result)
        return Response(200, value.body)

    def _name_version(self, command: NameVersion) -> Response:
        change = changes.name_version(command.model, command.revision)
        result = self.register.change(
            topics.VERSIONS, change, self.register.scheduler.now() + CALL_TIMEOUT_NS
        )
        if isinstance(result, Rejected):
            return _findings_response(
                BadCall(400, (Finding("model_name", result.reason, "name one of those"),))
            )
        if not isinstance(result, Committed):
            return no_quorum_response()
        value = decode_value(result.value, VersionsValue)
        if value is not None:
            self.publish(Update(topics.VERSIONS, value.sequence, result.value))
        self.log.info("version call", model=command.model, revision=command.revision)
        return Response(200, b"{}")

    def _begin_rollout(self, command: BeginRollout) -> Response:
        unknown = self._unknown_service(command.service)
        if unknown is not None:
            return unknown
        change = changes.BeginRollout(
            command.service, command.version, command.over_ms, self.repeat_ms, self.rollouts_age_ms
        )
        result = self._change_rollouts(change)
        self.log.info(
            "rollout call",
            service=command.service,
            version=command.version,
            over_ms=command.over_ms,
            result=type(result).__name__,
        )
        if isinstance(result, Committed):
            return Response(200, b"{}")
        if isinstance(result, Rejected | Overtaken):
            return Response(409, json.dumps({"message": result.reason}).encode())
        return no_quorum_response()

    def _unknown_service(self, service: str) -> Response | None:
        """Return the refusal of a service that the newest configuration does not contain; None if it does."""
        deadline = self.register.scheduler.now() + CALL_TIMEOUT_NS
        result = self.register.change(topics.CONFIGURATION, changes.unchanged, deadline)
        if not isinstance(result, Committed):
            return no_quorum_response()
        value = decode_value(result.value, ConfigurationValue)
        services = () if value is None or not value.body else parse_services(value.body)
        if service in {known.label for known in services}:
            return None
        return _findings_response(
            BadCall(422, (Finding("target", "no such service", "name one of the configuration"),))
        )

    def _read_rollout(self, command: ReadRollout) -> Response:
        result = self._change_rollouts(changes.unchanged)
        if not isinstance(result, Committed):
            return no_quorum_response()
        value = decode_value(result.value, RolloutsValue)
        states = () if value is None else value.rollouts
        state = next((state for state in states if state.service == command.service), None)
        if state is None:
            return Response(404, b'{"message":"no roll-out of this service"}')
        document = {"phase": state.phase, "target_version": state.version, "share": state.share / 1000}
        return Response(200, json.dumps(document).encode())

    def _change_rollouts(self, change: changes.Change) -> ProposerResult:
        """Change the register of the roll-outs, and publish its value."""
        deadline = self.register.scheduler.now() + CALL_TIMEOUT_NS
        result = self.register.change(topics.ROLLOUTS, change, deadline)
        if isinstance(result, Committed | Rejected | Overtaken):
            value = decode_value(result.value, RolloutsValue)
            if value is not None:
                self.publish(Update(topics.ROLLOUTS, value.sequence, result.value))
        return result

    def _publish_configuration(self, result: ProposerResult) -> None:
        if isinstance(result, Committed | Rejected | Overtaken):
            value = decode_value(result.value, ConfigurationValue)
            if value is not None:
                relayed = changes.relayed_configuration(value)
                self.publish(Update(topics.CONFIGURATION, value.sequence, relayed))


def no_quorum_response() -> Response:
    """Return an inconclusive answer: the change may or may not be committed; the client retries at any core machine."""
    return Response(503, b'{"message":"no majority of the core answered"}', RETRY_AFTER)


def _findings_response(call: BadCall) -> Response:
    rows = [{"place": f.place, "message": f.problem, "remedy": f.remedy} for f in call.findings]
    return Response(call.status, json.dumps({"findings": rows}).encode())
