"""A model of one model server in virtual time: batches, prompts read in pieces, memory, kept parts.

A server repeats steps. In each it reads one piece of the prompt that was admitted first among those not yet read, and
makes one token for each request that is read; the step lasts as long as both take. Memory holds the prompts and
outputs of what runs, and kept parts, of which the ones unused for longest give way. Times are nanoseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from iristrack.prefix_index.parts import Part, shared_parts
from iristrack.simulation.register_events import MILLISECOND, EventQueue

Prefix = tuple[str, ...]  # the ids of a prompt's first parts


@dataclass(frozen=True, slots=True)
class EngineSize:
    """What a server can do, by a site's sheet."""

    slots: int = 12
    memory_tokens: int = 90_022
    step_ns: int = 11_000_000  # fitted to plays; the sheet says 5.23 ms and more
    tokens_per_ms: float = 38.4  # of a prompt, read
    piece_tokens: int = 1_024
    moved_tokens_per_ms: float = 198.0  # 260 Gbit/s at 163.84 KB a token


@dataclass(slots=True)
class Job:
    """One request at a server."""

    parts: tuple[Part, ...]
    output_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    moved_tokens: int = 0  # of the first parts, fetched from another holder
    unread: int = 0
    made: int = 0
    is_admitted: bool = False

    @property
    def tokens(self) -> int:
        """Memory that it takes."""
        return sum(part.tokens for part in self.parts) + self.output_tokens


@dataclass(slots=True)
class EngineFigures:
    """What a server has done, in tokens."""

    read: int = 0
    found_kept: int = 0
    moved: int = 0
    shared_reads: list[tuple[Prefix, int]] = field(
        default_factory=list
    )  # shared beginnings read, and their tokens


class Engine:
    """One server."""

    def __init__(self, queue: EventQueue, size: EngineSize, on_kept: Callable[[Prefix, bool], None]) -> None:
        """`on_kept` is called as a shared beginning of prompts is kept, and as it is kept no more."""
        self.figures = EngineFigures()
        self._queue = queue
        self._size = size
        self._on_kept = on_kept
        self._waiting: deque[Job] = deque()
        self._reading: deque[Job] = deque()
        self._writing: list[Job] = []
        self._kept: OrderedDict[Prefix, int] = OrderedDict()
        self._kept_tokens = 0
        self._running_tokens = 0
        self._is_stepping = False

    @property
    def active(self) -> int:
        """Requests that wait or run."""
        return len(self._waiting) + len(self._reading) + len(self._writing)

    def submit(self, job: Job) -> None:
        """A request arrives; parts that it fetches are there after the move."""
        self._waiting.append(job)
        self._begin_step()

    def kept_tokens(self, parts: tuple[Part, ...]) -> int:
        """Tokens of the prompt's shared beginning that are kept."""
        shared = shared_parts(parts)
        for length in range(len(shared), 0, -1):
            if tuple(part.id for part in shared[:length]) in self._kept:
                return sum(part.tokens for part in shared[:length])
        return 0

    def _begin_step(self) -> None:
        if self._is_stepping:
            return
        self._admit()
        if not (self._reading or self._writing):
            return
        self._is_stepping = True
        duration = self._size.step_ns
        piece = self._next_piece()
        duration += int(piece / self._size.tokens_per_ms * MILLISECOND)
        self._queue.add(self._queue.now + duration, lambda: self._end_step(piece))

    def _next_piece(self) -> int:
        return min(self._reading[0].unread, self._size.piece_tokens) if self._reading else 0

    def _admit(self) -> None:
        while self._waiting and len(self._reading) + len(self._writing) < self._size.slots:
            job = self._waiting[0]
            if self._running_tokens + job.tokens > self._size.memory_tokens:
                return
            self._waiting.popleft()
            self._running_tokens += job.tokens
            self._make_room()
            self._prepare(job)
            self._reading.append(job)

    def _prepare(self, job: Job) -> None:
        """See what of the prompt is kept here, or was fetched."""
        total = sum(part.tokens for part in job.parts)
        kept = self.kept_tokens(job.parts)
        moved = max(0, job.moved_tokens - kept)
        job.is_admitted = True
        job.unread = max(1, total - kept - moved)
        shared = sum(part.tokens for part in shared_parts(job.parts))
        again = shared - kept - moved
        self.figures.found_kept += kept
        self.figures.moved += moved
        self.figures.read += job.unread
        if again > 0:
            self.figures.shared_reads.append((tuple(part.id for part in shared_parts(job.parts)), again))

    def _end_step(self, piece: int) -> None:
        self._is_stepping = False
        ended = [job for job in self._writing if self._makes_last_token(job)]
        self._writing = [job for job in self._writing if job.made < job.output_tokens]
        if piece:
            self._read(piece)
        for job in ended:
            self._running_tokens -= job.tokens
            job.on_end()
        self._begin_step()

    @staticmethod
    def _makes_last_token(job: Job) -> bool:
        job.made += 1
        return job.made >= job.output_tokens

    def _read(self, piece: int) -> None:
        job = self._reading[0]
        job.unread -= piece
        if job.unread > 0:
            return
        self._reading.popleft()
        job.made = 1
        self._writing.append(job)
        self._keep(job.parts)
        job.on_first_token()

    def _keep(self, parts: tuple[Part, ...]) -> None:
        shared = shared_parts(parts)
        for length in range(1, len(shared) + 1):
            prefix = tuple(part.id for part in shared[:length])
            if prefix in self._kept:
                self._kept.move_to_end(prefix)
            else:
                self._kept[prefix] = shared[length - 1].tokens
                self._kept_tokens += shared[length - 1].tokens
                self._on_kept(prefix, True)
        self._make_room()

    def _make_room(self) -> None:
        """What runs goes before what is kept."""
        while self._kept and self._kept_tokens + self._running_tokens > self._size.memory_tokens:
            prefix, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
            self._on_kept(prefix, False)
