"""The state of a stand-in model server: its weights, its orders, and the parts of prompts that it keeps."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

SHARED_SALT = ""  # the text that stands for an absent `Cache-Salt`
MOST_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt."""

    id: str
    tokens: int


def parse_prompt(text: str) -> list[PromptPart]:
    """The parts of an `X-Iristrack-Prompt-Prefix`."""
    pairs = (item.split(":") for item in text.split(",") if item)
    return [PromptPart(part_id.strip(), int(tokens)) for part_id, tokens in pairs]


class KeptParts:
    """Parts by salt and model, and the events that tell of them."""

    def __init__(self, epoch: int) -> None:
        """Nothing is kept."""
        self.epoch = epoch
        self._changed = threading.Condition()
        self._kept: dict[tuple[str, str, str], int] = {}
        self._events: list[list[object]] = []

    def read_prompt(self, salt: str, model: str, parts: list[PromptPart]) -> int:
        """Keep all parts of a prompt; the tokens at its head that were kept already."""
        found, whole = 0, True
        with self._changed:
            for part in parts:
                key = (salt, part.id, model)
                whole = whole and key in self._kept
                found += part.tokens if whole else 0
                if key not in self._kept:
                    self._kept[key] = part.tokens
                    self._tell("+", key, part.tokens)
            self._changed.notify_all()
        return found

    def drop_model(self, model: str) -> None:
        """New weights came: nothing of the model is kept."""
        with self._changed:
            for key in [key for key in self._kept if key[2] == model]:
                del self._kept[key]
                self._tell("-", key, 0)
            self._changed.notify_all()

    def _tell(self, sign: str, key: tuple[str, str, str], tokens: int) -> None:
        salt, part_id, model = key
        self._events.append([len(self._events) + 1, sign, salt, part_id, tokens, model])

    def events_since(self, since: int, wait_s: float) -> dict[str, object]:
        """The answer of `GET /kv-events`, held until there are events."""
        with self._changed:
            self._changed.wait_for(lambda: len(self._events) > since, wait_s)
            events = self._events[max(0, since) :][:MOST_EVENTS]
            token = events[-1][0] if events else len(self._events)
        return {"epoch": self.epoch, "next_token": token, "lost": False, "events": events}

    def owned(self) -> dict[str, object]:
        """The answer of `GET /kv-list`."""
        with self._changed:
            owned = [[salt, part, tokens, model] for (salt, part, model), tokens in self._kept.items()]
            return {"epoch": self.epoch, "next_token": len(self._events), "owned": owned}


@dataclass
class Weights:
    """The revision of the only model, and the orders that change it (method `wait`: runs finish first)."""

    model: str
    revision: int
    kept: KeptParts
    busy: bool = False
    call_count: int = 0
    active: int = 0
    highest_fence: int = -1
    stuck: bool = False  # is every order turned away?
    target: int = 0
    lock: threading.RLock = field(default_factory=threading.RLock)

    def order(self, body: dict[str, object]) -> int:
        """Take an order; the status of the answer."""
        with self.lock:
            fence = body.get("fence_no")
            if body.get("order_kind") != "revision" or not body.get("owner") or not isinstance(fence, int):
                return 400
            if fence < self.highest_fence:
                return 412
            if self.stuck or self.busy or body.get("expected_count", self.call_count) != self.call_count:
                return 409
            if body.get("model_name") != self.model or not isinstance(body.get("revision"), int):
                return 400
            self.highest_fence = fence
            if body["revision"] == self.revision:
                return 200
            self.call_count += 1
            self.busy, self.target = True, body["revision"]
            self._load_when_idle()
            return 202

    def begin(self, expected: str | None) -> int:
        """A request wants to run: 0, or the status with which it is turned away."""
        with self.lock:
            if self.busy:
                return 503
            if expected is not None and expected != str(self.revision):
                return 421
            self.active += 1
            return 0

    def end(self) -> None:
        """A request has ended."""
        with self.lock:
            self.active -= 1
            self._load_when_idle()

    def _load_when_idle(self) -> None:
        if self.busy and not self.active:
            self.kept.drop_model(self.model)
            self.revision, self.busy = self.target, False

    def report(self) -> dict[str, object]:
        """The answer of `GET /report`."""
        with self.lock:
            return {
                "stage": "both",
                "model_list": self.model_list(),
                "busy": self.busy,
                "call_count": self.call_count,
                "queued": 0,
                "active": self.active,
                "kv_used": 0,
                "kv_total": 1_000_000,
                "handle_count": 0,
            }

    def model_list(self) -> list[dict[str, object]]:
        """The models as reports and the platform's list hold them."""
        return [{"label": self.model, "revision": self.revision, "adapter_list": []}]
