"""`iristrack check-system`: settings files and configurations, told apart, with all findings at once."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from iristrack.__main__ import main
from iristrack.cli.system_check import Kind, kind_of
from iristrack.standin.documents import configuration, route, service, tenant

ROOT = Path(__file__).parent.parent.parent
KEY = "a-key-nobody-may-see"
CORE = {
    "node_name": "core-0",
    "role": "controlplane",
    "machine_class": "core",
    "serves": ["control"],
    "ip": "10.1.0.38",
    "zone": "north",
    "region": "east",
    "zones": {"north": "east", "south": "east"},
    "bind": {"control_plane": "10.1.0.38:8169"},
    "port_range": [7640, 7655],
    "seed_nodes": ["10.1.0.38:8169"],
    "bootstrap": True,
    "data_dir": "/var/lib/iristrack",
    "provider_api": {"address": "10.200.0.56:8161", "rate_per_s": 40.0},
}
EDGE = CORE | {
    "node_name": "edge-0",
    "serves": ["edge"],
    "bind": {"front_http": "10.1.0.36:8167", "readiness": "10.1.0.36:8162"},
    "data_dir": None,
}
CONFIGURATION = configuration(
    7, [route("a.example", "/x/", "chat")], [service("chat", "m")], [tenant("north", KEY)]
)


def check(capsys: pytest.CaptureFixture[str], *files: Path) -> tuple[int, list[str], list[str]]:
    """Exit status, lines of standard output, lines of standard error."""
    status = main(["check-system", *map(str, files)])
    captured = capsys.readouterr()
    return status, captured.out.splitlines(), captured.err.splitlines()


def written(folder: Path, document: object, name: str = "file.json") -> Path:
    path = folder / name
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def test_sound_files_of_both_kinds_are_told_apart(tmp_path: Path, capsys) -> None:
    core = written(tmp_path, CORE, "core.json")
    edge = written(tmp_path, EDGE, "edge.json")
    whole = written(tmp_path, CONFIGURATION, "whole.json")
    assert check(capsys, core, edge, whole) == (
        0,
        [
            f"{core}: settings of core-0: sound",
            f"{edge}: settings of edge-0: sound",
            f"{whole}: configuration, revision 7: sound (routes: 1, services: 1, tenants: 1)",
        ],
        [],
    )


def test_a_file_with_fields_of_both_is_what_it_has_more_of() -> None:
    assert kind_of({"limits": {}}) is Kind.NEITHER
    assert kind_of({"revision": 1, "limits": {}}) is Kind.CONFIGURATION
    assert kind_of({"node_name": "a", "zone": "b", "revision": 1}) is Kind.SETTINGS
    assert kind_of({"node_name": "a", "route_table": [], "services": []}) is Kind.CONFIGURATION


def test_all_findings_of_a_configuration_come_with_place_problem_and_remedy(tmp_path: Path, capsys) -> None:
    document = configuration(
        7,
        [
            route("a.example", "/x/", "nobody"),
            route("A.example:80", "/x/", "chat"),
            route("a.example", "/y/", "chat", timeout_ms=0),
            route("a.example", "/z", "chat"),
            route("a.example", "/w/", "chat", target=None, weighted_targets=[{"target": "chat", "share": 0}]),
        ],
        [service("chat", "m")],
        [tenant("north", KEY), tenant("south", KEY)],
    )
    status, found, complaints = check(capsys, written(tmp_path, document))
    assert (status, complaints) == (1, [])
    places = [line.split(": ")[1] for line in found]
    assert sorted(places) == [
        "route_table[0].target",
        "route_table[1].path_prefix",
        "route_table[2].timeout_ms",
        "route_table[3].path_prefix",
        "route_table[4].weighted_targets",
        "tenants[1].api_keys[0]",
    ]
    assert all(line.startswith(f"{tmp_path}/file.json: ") and "; " in line for line in found)
    assert KEY not in "\n".join(found)


def test_all_findings_of_settings_come_at_once(tmp_path: Path, capsys) -> None:
    document = CORE | {"port_range": [7655, 7640], "seed_nodes": ["10.1.0.38"], "beat_interval_ms": 0}
    del document["zone"]
    status, found, _ = check(capsys, written(tmp_path, document))
    assert status == 1
    assert [line.split(": ")[1] for line in found] == [
        "beat_interval_ms",
        "port_range",
        "seed_nodes[0]",
        "zone",
    ]


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        ({"data_dir": None}, ["data_dir"]),
        ({"bind": {}}, ["bind.control_plane"]),
        ({"bind": {}, "data_dir": None}, ["bind.control_plane", "data_dir"]),
        ({"bind": {"control_plane": "10.1.0.38:7640"}}, ["bind.control_plane"]),
        ({"serves": ["edge"], "bind": {"front_http": "10.1.0.38:80"}}, ["bind.readiness"]),
        ({"zone": "west"}, ["zone"]),
        ({"region": "west"}, ["region"]),
        ({"seed_nodes": []}, ["seed_nodes"]),
        ({"zones": {}, "zone": "west", "region": ""}, []),
        ({"bind": {"control_plane": "10.1.0.99:7640"}}, []),
    ],
)
def test_settings_with_which_a_program_could_not_work(
    tmp_path: Path, capsys, changes: dict[str, object], places: list[str]
) -> None:
    status, found, _ = check(capsys, written(tmp_path, CORE | changes))
    assert status == (1 if places else 0)
    assert [line.split(": ")[1] for line in found][: len(places)] == places
    assert len(found) == max(1, len(places))


@pytest.mark.parametrize(
    ("content", "said"),
    [
        ("{", "is not JSON"),
        ("", "is not JSON"),
        ("[1]", "is not a JSON object"),
        ("[" * 100_000, "is not JSON"),
    ],
)
def test_a_file_without_a_json_object_is_unreadable(tmp_path: Path, capsys, content: str, said: str) -> None:
    status, found, complaints = check(capsys, written(tmp_path, content))
    assert (status, found, len(complaints)) == (2, [], 1)
    assert said in complaints[0]


def test_a_file_that_is_not_there_spares_no_other_one_the_check(tmp_path: Path, capsys) -> None:
    bad = written(tmp_path, {"revision": 1}, "bad.json")
    good = written(tmp_path, CORE, "good.json")
    status, found, complaints = check(capsys, tmp_path / "none.json", bad, tmp_path, good)
    assert status == 2
    assert [line.split(": ")[0] for line in complaints] == ["iristrack", "iristrack"]
    assert "No such file" in complaints[0] and "Is a directory" in complaints[1]
    assert [line.split(": ")[1] for line in found] == ["route_table", "services", "settings of core-0"]


def test_a_file_of_neither_kind_is_a_finding(tmp_path: Path, capsys) -> None:
    status, found, _ = check(capsys, written(tmp_path, {"limits": {}}))
    assert (status, len(found)) == (1, 1)
    assert "no field of a settings file or of a configuration" in found[0]


def test_a_finding_stays_one_line_whatever_the_file_holds(tmp_path: Path, capsys) -> None:
    odd = "two\nlines\x1b[2J"
    document = configuration(1, [route("a.example", "/x/", odd)], [service("chat", "m")])
    status, found, _ = check(capsys, written(tmp_path, document))
    assert (status, len(found)) == (1, 1)
    status, found, _ = check(capsys, written(tmp_path, CORE | {"node_name": odd}))
    assert (status, len(found)) == (0, 1)
    assert "\x1b" not in found[0] and "two\\nlines" in found[0]


def test_the_whole_program_gives_the_same_exit_codes(tmp_path: Path) -> None:
    def run(*words: object) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "iristrack", "check-system", *map(str, words)]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)

    good = written(tmp_path, CORE, "good.json")
    assert run(good).returncode == 0
    assert run(good, written(tmp_path, {"revision": 1}, "bad.json")).returncode == 1
    assert run(good, tmp_path / "none").returncode == 2
    assert run().returncode == 2
    told = run("--help").stdout
    assert all(f"\n  {code}  " in told for code in (0, 1, 2))
