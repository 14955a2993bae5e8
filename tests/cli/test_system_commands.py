"""`iristrack system` against running systems and disk folders: whole programs over loopback."""

from __future__ import annotations

import copy
import io
import json
import re
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass
from pathlib import Path

import pytest
from crc32c import crc32c

from iristrack.__main__ import main
from iristrack.cli.system_config import compare, hide_keys
from iristrack.cli.system_explain import Unexplained, prompt_key
from iristrack.configuration.document import parse_configuration
from iristrack.controlplane import status
from iristrack.standin.client import Client
from iristrack.standin.machine import Machine
from iristrack.standin.operator import Call, call_once
from iristrack.standin.system import System
from iristrack.standin.waiting import wait_until
from iristrack.store.acceptor_reader import NoAcceptorFile, read_acceptor_store
from iristrack.store.acceptor_store import IdentityRecord, NewerFormat, UnreadableFile, open_acceptor_store
from iristrack.store.files import LocalFileSystem
from tests.system.scene import (
    AMPLE_RETRIES,
    CHAT,
    HOST,
    MODEL,
    SEARCH,
    SOUTH_KEY,
    TENANTS,
    generation,
    usual_configuration,
)

ROOT = Path(__file__).parent.parent.parent
KEYS = [key for row in TENANTS for key in row["api_keys"]]


@dataclass
class Ran:
    """One command and what came of it."""

    status: int
    out: str
    err: str

    @property
    def json(self) -> dict:
        return json.loads(self.out)


def run(*words: object) -> Ran:
    """A command, run here: what a program would print, and its exit status."""
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        try:
            code = main(["system", *map(str, words)])
        except SystemExit as end_of_arguments:
            code = end_of_arguments.code
    return kept_secret(Ran(code, out.getvalue(), err.getvalue()))


def run_program(*words: object) -> Ran:
    """The same as a whole program."""
    command = [sys.executable, "-m", "iristrack", "system", *map(str, words)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return kept_secret(Ran(done.returncode, done.stdout, done.stderr))


def kept_secret(ran: Ran) -> Ran:
    """No command shows a key or a traceback, whatever happens."""
    shown = ran.out + ran.err
    assert "Traceback" not in shown, shown
    assert not [key for key in KEYS if key in shown], shown
    return ran


def complaint(ran: Ran) -> str:
    """The only line that a failed command prints."""
    assert ran.out == "" and ran.err.count("\n") == 1 and ran.err.startswith("iristrack: "), ran
    return ran.err


def end(system: System) -> None:
    tracebacks = system.tracebacks()
    system.stop()
    assert not tracebacks, tracebacks


@dataclass
class Running:
    """A system that has served, been given a configuration and new weights."""

    system: System
    control: tuple[str, str] = ("", "")

    @property
    def cores(self) -> list[Machine]:
        return self.system.cores


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Running]:
    """Three core machines and one edge machine, configuration 1, revision 2 of the weights at all servers."""
    system = System(tmp_path_factory.mktemp("running"), cores=3, edges=1, rule_bounds=AMPLE_RETRIES)
    try:
        system.add_model_servers(CHAT, MODEL, 4)
        system.add_model_servers(SEARCH, MODEL, 1)
        system.start()
        assert system.operator.replace(usual_configuration(1), 0).status == 200
        system.wait_ready()
        assert system.operator.name_version(MODEL, 2).status == 200
        found = Running(system, ("--control", system.cores[0].control))

        def settled() -> bool:
            servers = status_of(system.cores[0], "?servers")["servers"] or ()
            holding = [s for s in servers if all(m["revision"] == 2 for m in s["models"]) and not s["busy"]]
            return len(holding) == len(system.model_servers)

        wait_until(settled, "the new weights at all servers")
        yield found
    finally:
        end(system)


@pytest.fixture
def new_core(tmp_path: Path) -> Iterator[Callable[..., System]]:
    """Makes systems of core machines alone, which end with the test."""
    systems: list[System] = []

    def make(cores: int = 1) -> System:
        systems.append(System(tmp_path / f"system-{len(systems)}", cores=cores, edges=0))
        return systems[-1]

    yield make
    for system in systems:
        end(system)


def status_of(core: Machine, query: str = "") -> dict:
    answer = call_once(core.control, Call("GET", f"/system/status{query}"))
    assert answer.status == 200
    return answer.json


def of_the_disk(incarnation: str) -> str:
    """The part that is drawn with a disk; behind it stands the last recovery of another that the member helped with."""
    return incarnation.partition("/")[0]


def logged(core: Machine, event: str, name: str) -> str:
    """A field of the last line in a log that tells of an event."""
    lines = [
        line for line in core.log().splitlines() if f"event={event} " in line or f'event="{event}" ' in line
    ]
    found = re.search(rf" {name}=(\S+)", lines[-1])
    return found[1]


def changed(document: dict, **changes: object) -> dict:
    return copy.deepcopy(document) | changes


def written(folder: Path, document: object, name: str = "file.json") -> Path:
    path = folder / name
    path.write_text(json.dumps(document))
    return path


# ---- status, members, duties, versions


def test_status_tells_of_members_topics_peers_and_who_polls(running: Running) -> None:
    inner = [f"{core.ip}:7640" for core in running.cores]
    wait_until(
        lambda: len(status_of(running.cores[0])["peers"]) == 3,
        "connections of two members and one edge machine",
    )
    told = run("status", "--json", *running.control)
    assert told.status == 0
    found = told.json
    assert (found["node"], found["zone"], found["voting"]) == ("core-0", "zone-a", True)
    assert of_the_disk(found["incarnation"]) == logged(running.cores[0], "voting", "incarnation")
    assert [m["address"] for m in found["members"]] == sorted(inner)
    assert [(m["node"], m["here"], m["connected"]) for m in found["members"]] == [
        ("core-0", True, True),
        ("core-1", False, True),
        ("core-2", False, True),
    ]
    sequences = {topic["topic"]: topic["sequence"] for topic in found["topics"]}
    assert sequences["configuration"] == sequences["versions"] == sequences["members"] == 1
    assert list(sequences) == sorted(sequences)
    assert [(p["node"], p["role"], p["subscribed"]) for p in found["peers"]] == [
        ("core-1", "controlplane", True),
        ("core-2", "controlplane", True),
        ("edge-0", "dataplane", True),
    ]
    assert found["list_poller"] == min(inner)
    assert found["configuration"]["revision"] == 1

    shown = run("status", *running.control)
    assert shown.status == 0
    for text in ("core-0", "connected to 2 of 2 others", "revision 1, digest ", "edge-0", "duty/weights"):
        assert text in shown.out


def test_members_have_the_incarnations_that_they_logged(running: Running) -> None:
    told = run("members", "--json", *running.control).json
    incarnations = {member["node"]: member["incarnation"] for member in told["members"]}
    from_disks = {name: of_the_disk(incarnation) for name, incarnation in incarnations.items()}
    assert from_disks == {core.name: logged(core, "voting", "incarnation") for core in running.cores}
    shown = run("members", *running.control)
    assert all(incarnation in shown.out for incarnation in incarnations.values())


def test_the_holder_of_a_duty_and_the_named_weights_are_shown(running: Running) -> None:
    (duty,) = run("duties", "--json", *running.control).json["duties"]
    holder = next(core for core in running.cores if core.name == duty["owner"])
    assert str(duty["fence"]) == logged(holder, "duty taken", "fence")
    assert duty["duty"] == "duty/weights"
    (seen,) = run("duties", "--json", "--control", holder.control).json["duties"]
    assert seen["act_ms"] > 0
    assert duty["owner"] in run("duties", *running.control).out
    versions = run("versions", "--json", *running.control).json["versions"]
    assert [version.pop("named_ms_ago") >= 0 for version in versions] == [True]
    assert versions == [{"model": MODEL, "revision": 2}]
    assert re.search(rf"{MODEL} +2\n", run("versions", *running.control).out)


def test_the_status_call_changes_nothing_and_takes_no_other_method(running: Running) -> None:
    core = running.cores[0]
    before = status_of(core)["topics"]
    assert [t for t in before if t["topic"] == "configuration"] == [{"topic": "configuration", "sequence": 1}]
    assert "servers" in status_of(core) and status_of(core)["servers"] is None
    assert len(status_of(core, "?servers")["servers"]) == 5
    assert call_once(core.control, Call("POST", "/system/status", b"{}")).status == 404


def test_the_whole_program_gives_the_same_output_and_exit_codes(running: Running, tmp_path: Path) -> None:
    for words in (("versions",), ("config", "show"), ("explain", f"{HOST}/safe/x", "5c1e")):
        ran = run_program(*words, *running.control)
        assert (ran.status, ran.out) == (0, run(*words, *running.control).out)
    assert (
        run_program(
            "config", "diff", written(tmp_path, changed(usual_configuration(2), limits={})), *running.control
        ).status
        == 1
    )
    assert run_program("status").status == 2
    assert run_program("status", "--control", "127.0.0.1:1").status == 3


def test_a_reader_that_has_seen_enough_is_no_failure(running: Running) -> None:
    command = [sys.executable, "-u", "-m", "iristrack", "system", "config", "show", *running.control]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        process.stdout.close()
        assert (process.stderr.read(), process.wait()) == (b"", 0)


# ---- the configuration


def test_the_configuration_is_shown_whole_with_its_keys_hidden(running: Running) -> None:
    shown = run("config", "show", *running.control)
    assert shown.status == 0
    expected = copy.deepcopy(usual_configuration(1))
    for row in expected["tenants"]:
        row["api_keys"] = ["********" for _ in row["api_keys"]]
    assert shown.json == expected
    brief = run("config", "show", "--summary", "--json", *running.control).json
    assert (brief["revision"], brief["routes"], brief["hosts"]) == (1, 8, 2)
    assert brief["routes_by_kind"] == {"safe": 1, "streaming": 2, "unsafe": 5}
    assert [(t["label"], t["keys"]) for t in brief["tenants"]] == [("north", 2), ("south", 1)]
    text = run("config", "show", "--summary", *running.control).out
    assert "8 on 2 hosts (1 safe, 2 streaming, 5 unsafe)" in text


def test_keys_are_hidden_wherever_they_stand() -> None:
    document = {"a": [{"api_keys": ["x", "y"], "label": "x-label"}], "api_keys": "x", "api_key": {"b": "x"}}
    assert hide_keys(document) == {
        "a": [{"api_keys": ["********", "********"], "label": "x-label"}],
        "api_keys": "********",
        "api_key": "********",
    }


def test_a_diff_names_what_comes_goes_and_changes(running: Running, tmp_path: Path) -> None:
    document = copy.deepcopy(usual_configuration(2))
    document["route_table"][0]["timeout_ms"] = 5000
    removed = document["route_table"].pop(3)
    document["route_table"].append(removed | {"path_prefix": "/new/", "label": "r-new"})
    document["services"][0]["engine"]["capacity"] = 32
    document["tenants"][0]["api_keys"] = ["key-north", "a-new-key"]
    idle_ms = document["limits"]["idle_timeout_ms"]
    document["limits"]["idle_timeout_ms"] = 9000
    ran = run("config", "diff", written(tmp_path, document), *running.control)
    assert ran.status == 1
    assert ran.out.splitlines() == [
        "# running: revision 1; file: revision 2",
        "- route r-alpha.example-safe (alpha.example/safe/)",
        "~ route r-alpha.example-plain (alpha.example/plain/)",
        "    timeout_ms: 20000 -> 5000",
        "+ route r-new (alpha.example/new/)",
        "~ service chat",
        "    engine.capacity: 64 -> 32",
        "~ tenant north",
        "    api_keys: 1 added, 1 removed",
        "~ limits",
        f"    idle_timeout_ms: {idle_ms} -> 9000",
    ]
    assert "a-new-key" not in ran.out
    told = run("config", "diff", tmp_path / "file.json", "--json", *running.control)
    assert (told.status, len(told.json["differences"]), told.json["file_revision"]) == (1, 6, 2)


def test_a_diff_without_a_difference_and_one_that_cannot_be_made(running: Running, tmp_path: Path) -> None:
    same = run("config", "diff", written(tmp_path, usual_configuration(5)), *running.control)
    assert (same.status, same.err) == (0, "")
    assert "no difference" in same.out
    invalid = changed(usual_configuration(5), services=[])
    ran = run("config", "diff", written(tmp_path, invalid), *running.control)
    assert (ran.status, ran.out) == (2, "")
    assert ran.err.count("unknown service") == 8
    missing = run("config", "diff", tmp_path / "none.json", *running.control)
    assert missing.status == 2 and "No such file" in complaint(missing)


def test_tenants_that_come_or_go_altogether_are_a_difference() -> None:
    def parsed(document: dict):
        return parse_configuration(json.dumps(document).encode())

    with_tenants = usual_configuration(1)
    without = {name: value for name, value in with_tenants.items() if name != "tenants"}
    going = compare(parsed(with_tenants), parsed(without)).differences
    assert [(d.change, d.name) for d in going] == [
        ("changed", "(all)"),
        ("removed", "north"),
        ("removed", "south"),
    ]
    empty = compare(parsed(without), parsed(without | {"tenants": []})).differences
    assert [d.details for d in empty] == [("requests need a key from now on",)]


def test_a_check_foretells_what_the_control_plane_says(new_core, tmp_path: Path) -> None:
    system = new_core()
    system.start()
    system.wait_listening()
    control = ("--control", system.cores[0].control)
    file = tmp_path / "file.json"

    def check_and_send(revision: int, base: int) -> tuple[Ran, int]:
        body = json.dumps(usual_configuration(revision)).encode()
        file.write_bytes(body)
        return run("config", "check", file, *control), system.operator.replace(body, base).status

    wait_until(lambda: status_of(system.cores[0])["founded"], "the set of the only member")
    ran, answer = check_and_send(3, 0)
    assert (ran.status, answer) == (0, 200)
    assert "revision 3 would be taken now with X-Iristrack-Base-Version: 0" in ran.out
    ran, answer = check_and_send(3, 3)
    assert (ran.status, answer) == (0, 200)
    assert "in force already" in ran.out
    ran, answer = check_and_send(2, 3)
    assert (ran.status, answer) == (1, 400)
    assert "revision: is 2, not higher than the current 3" in ran.out
    ran, answer = check_and_send(9, 3)
    assert (ran.status, answer) == (0, 200)
    assert "with X-Iristrack-Base-Version: 3" in ran.out

    file.write_text(json.dumps(changed(usual_configuration(10), services=[])))
    ran = run("config", "check", file, *control)
    assert (ran.status, ran.out.count("\n")) == (1, 8)
    told = run("config", "check", file, "--json", *control)
    assert (told.status, len(told.json["findings"])) == (1, 8)


def test_a_check_without_an_answer_still_says_what_the_file_is(tmp_path: Path) -> None:
    sound = run("config", "check", written(tmp_path, usual_configuration(2)), "--control", "127.0.0.1:1")
    assert sound.status == 3
    assert "sound by itself" in sound.err.splitlines()[0] and "no control plane" in sound.err.splitlines()[1]
    broken = written(tmp_path, changed(usual_configuration(2), route_table=7))
    assert run("config", "check", broken, "--control", "127.0.0.1:1").status == 1


# ---- explain


def test_the_first_of_the_ranking_is_where_a_new_prompt_goes(running: Running) -> None:
    seen = set()
    for number in range(8):
        key = f"{0xC0DE00 + number:x}"
        ran = run("explain", f"{HOST}/stream/x", key, "--json", *running.control)
        assert ran.status == 0
        (service,) = ran.json["services"]
        assert (ran.json["key"], service["label"], service["model"]) == (key, CHAT, MODEL)
        assert [server["place"] for server in service["servers"]] == [1, 2, 3, 4]
        first = service["servers"][0]["instance"]
        request = generation("/stream/x", parts=((key, 800),))
        with Client(running.system.edges[0].front) as client:
            client.open(request).event_ids()
        (arrival,) = running.system.ledger.arrivals(request.attempt_id)
        assert arrival.instance_id == first
        seen.add(first)
    assert len(seen) > 1, "all keys rank the same server first"


def test_explain_names_route_tenant_and_priority(running: Running, tmp_path: Path) -> None:
    deep = run("explain", f"{HOST.upper()}:80/plain/deep/x?y=/safe/", "5c1e", "--json", *running.control).json
    assert (deep["path_prefix"], deep["services"][0]["label"]) == ("/plain/deep/", SEARCH)
    assert deep["passed_over"] == ["r-alpha.example-plain"]
    assert (deep["tenant"], deep["priority"]) == ("", 1)
    by_label = run(
        "explain", "r-alpha.example-plain/deep", "5c1e", "--tenant", "north", "--json", *running.control
    )
    assert (by_label.json["path_prefix"], by_label.json["priority"]) == ("/plain/deep/", 3)

    key_file = tmp_path / "key"
    key_file.write_text(SOUTH_KEY + "\n")
    south = run("explain", f"{HOST}/safe/x", "5c1e:800,91bd:410", "--key-file", key_file, *running.control)
    assert south.status == 0
    for text in (
        "south: its key names it; isolated",
        "priority    4",
        "prompt key  5c1e\n",
        "service chat: 100 %",
    ):
        assert text in south.out
    public = run("explain", f"{HOST}/open/x", "5c1e", *running.control)
    assert "the route is public" in public.out


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (("nowhere.example/x", "5c1e"), "404"),
        ((f"{HOST}/plain", "5c1e"), "404"),
        (("no-label", "5c1e"), "404"),
        ((f"{HOST}/safe/x", "5c1e", "--tenant", "west"), "no tenant has the label 'west'"),
        ((f"{HOST}/safe/x", "5c1e:"), "KEY is no prompt prefix"),
    ],
)
def test_what_nothing_answers_is_one_line_and_exit_1(
    running: Running, words: tuple[str, ...], said: str
) -> None:
    ran = run("explain", *words, *running.control)
    assert ran.status == 1
    assert said in complaint(ran)


def test_an_unknown_key_is_a_401_and_is_not_shown(running: Running, tmp_path: Path) -> None:
    key_file = tmp_path / "key"
    key_file.write_text("no-such-key")
    ran = run("explain", f"{HOST}/safe/x", "5c1e", "--key-file", key_file, *running.control)
    assert ran.status == 1
    assert "401" in complaint(ran) and "no-such-key" not in ran.err


def test_a_server_that_drains_is_out_of_the_ranking(running: Running) -> None:
    server = next(s for s in running.system.model_servers if s.service == CHAT)
    server.draining = True
    try:

        def phases() -> list[bool]:
            listed = status_of(running.cores[0], "?servers")["servers"]
            return [s["ready"] for s in listed if s["instance"] == server.instance_id]

        wait_until(lambda: phases() == [False], "the list to say that it drains")
        rows = run("explain", f"{HOST}/safe/x", "5c1e", "--json", *running.control).json["services"][0][
            "servers"
        ]
    finally:
        server.draining = False
    assert [row["place"] for row in rows] == [1, 2, 3, None]
    assert (rows[-1]["instance"], rows[-1]["why"]) == (server.instance_id, "draining: takes no new requests")
    wait_until(lambda: phases() == [True], "the list to say that it is back")


def test_the_key_of_a_prefix_is_its_last_shared_part() -> None:
    assert prompt_key("5c1e07a2") == "5c1e07a2"
    assert prompt_key("5c1e07a2:800") == "5c1e07a2"
    assert prompt_key("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == "91bd3f06"
    with pytest.raises(Unexplained):
        prompt_key("5c1e07a2:800,,")


# ---- whom it asks


def test_control_planes_are_tried_in_turn(running: Running) -> None:
    ran = run("members", "--control", "127.0.0.1:1", "--control", running.cores[1].control, "--json")
    assert (ran.status, ran.json["node"]) == (0, "core-1")


def test_without_a_usable_answer_there_is_one_line_and_exit_3(running: Running) -> None:
    platform = running.system.platform.address  # it knows no such call
    ran = run("status", "--control", "127.0.0.1:1", "--control", platform)
    assert ran.status == 3
    assert "127.0.0.1:1: " in complaint(ran) and f"{platform}: status 404" in ran.err


def test_before_the_first_configuration_there_is_nothing_to_show(new_core, tmp_path: Path) -> None:
    system = new_core()
    system.start()
    system.wait_listening()
    control = ("--control", system.cores[0].control)
    wait_until(lambda: status_of(system.cores[0])["founded"], "the set of the only member")
    file = written(tmp_path, usual_configuration(2))
    for words in (("show",), ("show", "--summary"), ("diff", file)):
        ran = run("config", *words, *control)
        assert ran.status == 3
        assert "there is no configuration yet" in complaint(ran)
    assert "none yet" in run("status", *control).out


def test_a_member_without_a_majority_still_tells_its_own_view(new_core) -> None:
    system = new_core(cores=3)
    alone = system.cores[0]
    alone.start()
    system.wait_listening([alone])
    wait_until(lambda: status_of(alone)["voting"], "its vote")
    told = run("members", "--json", "--control", alone.control).json
    assert [member["connected"] for member in told["members"]] == [True, False, False]
    ran = run("config", "show", "--control", alone.control)
    assert ran.status == 3
    assert "no majority of the core answered" in complaint(ran)


@pytest.mark.parametrize(
    "words",
    [
        ("status",),
        ("status", "--control", "127.0.0.1"),
        ("status", "--control", "127.0.0.1:0"),
        ("status", "--control", "127.0.0.1:1", "--data-dir", "/tmp"),
        ("status", "--control", "127.0.0.1:1", "--timeout", "0"),
        ("status", "--control", "127.0.0.1:1", "--timeout", "nan"),
        ("explain", "a", "--control", "127.0.0.1:1"),
        (),
    ],
)
def test_bad_arguments_exit_with_2(words: tuple[str, ...]) -> None:
    assert run(*words).status == 2


@pytest.mark.parametrize("words", [("status",), ("explain",), ("config", "check"), ()])
def test_help_names_every_exit_code(words: tuple[str, ...]) -> None:
    told = run(*words, "--help")
    assert told.status == 0
    assert all(f"\n  {code}  " in told.out for code in range(4))


# ---- a disk folder


def files_of(folder: Path) -> dict[str, tuple[bytes, int]]:
    return {path.name: (path.read_bytes(), path.stat().st_mtime_ns) for path in folder.iterdir()}


def process_state(machine: Machine) -> str:
    """As the kernel tells it: T while it is stopped."""
    return Path(f"/proc/{machine.process.pid}/stat").read_text().rpartition(")")[2].split()[0]


def test_a_running_process_keeps_its_folder_while_it_is_looked_into(new_core, tmp_path: Path) -> None:
    system = new_core()
    core = system.cores[0]
    system.start()
    assert system.operator.replace(usual_configuration(4), 0).status == 200
    shown = run("config", "show", "--control", core.control).out
    source = ("--data-dir", core.disk)
    core.send_signal(signal.SIGSTOP)  # it keeps its lock, and writes nothing that could be taken for ours
    wait_until(lambda: process_state(core) == "T", "the process to stop")
    before = files_of(core.disk)

    told = run("status", "--json", *source).json
    assert (told["node"], told["voting"], told["configuration"]["revision"]) == ("core-0", True, 4)
    assert of_the_disk(told["incarnation"]) == logged(core, "voting", "incarnation")
    assert [m["address"] for m in told["members"]] == [f"{core.ip}:7640"]
    assert "a majority" in told["notes"][0]
    assert run("config", "show", *source).out == shown
    assert run("config", "diff", written(tmp_path, usual_configuration(4)), *source).status == 0
    assert run("config", "check", written(tmp_path, usual_configuration(5)), *source).status == 0
    explained = run("explain", f"{HOST}/safe/x", "5c1e", *source)
    assert "list of servers is not known" in explained.out
    for part in ("members", "duties", "versions", "status"):
        assert run(part, *source).status == 0
    assert run_program("config", "show", *source).out == shown

    assert files_of(core.disk) == before
    core.send_signal(signal.SIGCONT)
    assert system.operator.replace(usual_configuration(5), 4).status == 200
    core.kill()
    before = files_of(core.disk)
    assert run("config", "show", *source).json["revision"] == 5
    assert files_of(core.disk) == before
    core.start()
    assert system.operator.read().json["revision"] == 5


def test_a_folder_that_cannot_be_read_is_one_line_and_is_left_alone(tmp_path: Path) -> None:
    missing = tmp_path / "missing"
    ran = run("status", "--data-dir", missing)
    assert ran.status == 2 and "No such file" in complaint(ran)
    assert not missing.exists()
    empty = tmp_path / "empty"
    empty.mkdir()
    ran = run("status", "--data-dir", empty)
    assert ran.status == 2 and "holds no cells" in complaint(ran)
    assert list(empty.iterdir()) == []


def filled(folder: Path) -> Path:
    """A folder with an owner; its only file."""
    opened = open_acceptor_store(str(folder), "a")
    opened.store.append([IdentityRecord("first", "a")])
    opened.store.close()
    (file,) = folder.glob("cells.*")
    return file


def test_a_spoilt_tail_is_noted_and_a_newer_format_is_refused(tmp_path: Path) -> None:
    file = filled(tmp_path)
    whole = file.read_bytes()
    file.write_bytes(whole + b"torn")
    seen = read_acceptor_store(str(tmp_path))
    assert (seen.identity, len(seen.notes)) == (IdentityRecord("first", "a"), 1)
    assert "4 of" in seen.notes[0]
    assert "4 of" in run("status", "--data-dir", tmp_path).out

    length = 12 + int.from_bytes(whole[10:12], "little")
    head = whole[:8] + (99).to_bytes(2, "little") + whole[10:length]
    file.write_bytes(head + crc32c(head).to_bytes(4, "little") + whole[length + 4 :])
    with pytest.raises(NewerFormat):
        read_acceptor_store(str(tmp_path))
    ran = run("status", "--data-dir", tmp_path)
    assert ran.status == 2 and "format 99" in complaint(ran)


class Replacing(LocalFileSystem):
    """A folder whose newest file is replaced by the next one just before it is read, so many times."""

    def __init__(self, times: int) -> None:
        self.left = times
        self.calls: list[str] = []

    def read(self, path: str, most: int) -> bytes:
        if self.left:
            self.left -= 1
            name, _, number = path.rpartition(".")
            Path(path).rename(f"{name}.{int(number) + 1}")
        return super().read(path, most)


def test_a_file_that_is_replaced_while_it_is_read_is_looked_for_again(tmp_path: Path) -> None:
    filled(tmp_path)
    (tmp_path / "cells.7.new").write_bytes(b"half")
    seen = read_acceptor_store(str(tmp_path), Replacing(2))
    assert (seen.file, seen.identity) == ("cells.2", IdentityRecord("first", "a"))
    with pytest.raises(UnreadableFile):
        read_acceptor_store(str(tmp_path), Replacing(100))
    (tmp_path / "none").mkdir()
    with pytest.raises(NoAcceptorFile):
        read_acceptor_store(str(tmp_path / "none"))


# ---- statuses of other landings


def test_a_status_of_another_landing_is_read_as_far_as_it_is_known() -> None:
    older = status.from_document({"node": "a", "members": [{"address": "b"}]})
    assert (older.node, older.members, older.peers) == ("a", (status.MemberStatus("b"),), ())
    newer = status.to_document(older) | {"moon": "full"}
    newer["members"][0]["mood"] = "good"
    assert status.from_document(newer) == older


@pytest.mark.parametrize(
    "document", [[], 7, None, {}, {"node": "a", "members": [{}]}, {"node": "a", "peers": 3}]
)
def test_what_is_no_status_is_refused(document: object) -> None:
    with pytest.raises(status.MalformedStatus):
        status.from_document(document)


# ---- the operators' page


def logged_events() -> set[str]:
    """The events that the two programs log, read from their sources."""
    folders = [ROOT / "iristrack" / name for name in ("controlplane", "dataplane")]
    sources = [path for folder in folders for path in folder.glob("*.py")]
    sources += [
        ROOT / "iristrack" / "cli" / f"{name}.py" for name in ("controlplane", "dataplane", "settings_file")
    ]
    pattern = re.compile(r"\blog\.(?:info|warning|error)\(\s*\"([^\"]+)\"")
    return {event for path in sources for event in pattern.findall(path.read_text())}


def test_each_event_of_the_logs_stands_on_the_operators_page() -> None:
    events = logged_events()
    assert len(events) > 15
    page = (ROOT / "docs" / "operators-system.md").read_text()
    assert not [event for event in sorted(events) if f"| `{event}` |" not in page]
