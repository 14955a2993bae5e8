from __future__ import annotations

from iristrack.prefix_index.parts import Part
from iristrack.simulation.engine import Engine, EngineSize, Job, Prefix
from iristrack.simulation.register_events import MILLISECOND, SECOND, EventQueue

SIZE = EngineSize(
    slots=2, memory_tokens=10_000, step_ns=5 * MILLISECOND, tokens_per_ms=100.0, piece_tokens=1_000
)
PIECE_NS = 15 * MILLISECOND  # a step that reads a whole piece


class Server:
    """An engine, and what it said of its jobs: (when, which, what)."""

    def __init__(self, size: EngineSize = SIZE) -> None:
        self.queue = EventQueue()
        self.kept: list[tuple[Prefix, bool]] = []
        self.seen: list[tuple[int, str, str]] = []
        self.engine = Engine(self.queue, size, lambda prefix, kept: self.kept.append((prefix, kept)))

    def submit(self, name: str, shared: int, own: int, output: int = 1, moved: int = 0) -> None:
        parts = (Part("shared", shared), Part(name, own)) if shared else (Part(name, own),)
        self.engine.submit(
            Job(parts, output, lambda: self._saw(name, "first"), lambda: self._saw(name, "end"), moved)
        )

    def _saw(self, name: str, what: str) -> None:
        self.seen.append((self.queue.now, name, what))

    def run(self) -> list[tuple[int, str, str]]:
        self.queue.run_until(self.queue.now + 10 * SECOND)
        return self.seen

    def when(self, name: str, what: str) -> int:
        (at,) = [at for at, seen, said in self.seen if (seen, said) == (name, what)]
        return at


def test_a_prompt_is_read_in_pieces_and_each_step_makes_a_token() -> None:
    server = Server()
    server.submit("a", 0, 3_000, output=4)
    server.run()
    assert server.when("a", "first") == 3 * PIECE_NS
    assert server.when("a", "end") == 3 * PIECE_NS + 3 * SIZE.step_ns
    assert server.engine.active == 0


def test_prompts_are_read_one_after_the_other_between_the_tokens_of_those_that_are() -> None:
    server = Server()
    server.submit("a", 0, 1_000, output=3)
    server.submit("b", 0, 2_000, output=2)
    server.run()
    assert server.when("a", "first") == PIECE_NS
    assert server.when("b", "first") == 3 * PIECE_NS
    assert server.when("a", "end") == 3 * PIECE_NS  # its tokens came in the steps that read b


def test_no_more_run_than_there_are_slots_and_memory() -> None:
    server = Server()
    for name in "abc":
        server.submit(name, 0, 1_000, output=5)
    server.run()
    assert server.when("c", "first") > server.when("a", "end")
    tight = Server()
    tight.submit("a", 0, 6_000, output=5)
    tight.submit("b", 0, 6_000, output=5)
    tight.run()
    assert tight.when("b", "first") > tight.when("a", "end")


def test_a_kept_part_is_not_read_again_and_a_fetched_one_not_at_all() -> None:
    server = Server()
    server.submit("a", 4_000, 1_000)
    server.run()
    assert server.kept == [(("shared",), True)]
    began = server.queue.now
    server.submit("b", 4_000, 1_000)
    server.run()
    assert server.when("b", "first") == began + PIECE_NS
    fetched = Server()
    fetched.submit("c", 4_000, 1_000, moved=4_000)
    fetched.run()
    assert fetched.when("c", "first") == PIECE_NS
    assert (fetched.engine.figures.moved, fetched.engine.figures.read) == (4_000, 1_000)


def test_what_is_kept_gives_way_to_what_runs() -> None:
    server = Server()
    server.submit("a", 4_000, 1_000)
    server.run()
    server.submit("b", 0, 8_000)
    server.run()
    assert server.kept == [(("shared",), True), (("shared",), False)]
