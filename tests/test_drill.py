"""The line protocol adapter: parsing of events, output of actions, and errors."""

from __future__ import annotations

import io
import subprocess
import sys

import pytest

from iristrack import drill
from iristrack import interface as mi

OPTIONS = (
    "allowed.attempts_cap=4\tallowed.cancel=true\tallowed.parallel_tries=true\tbalancers=2\tclasses.count=1\t"
    "classes.0.name=read\tclasses.0.promise_ns=400000000\tclasses.0.deadline_ns=2000000000\t"
    "classes.0.repeat=free\tresolution_ns=5000000\tsomething.new=7\torgs="
)
START = f"""BATCH\tat_time_ns=1000
AT\tsidecar=sidecar/0
BOOT\trandom_seed=5\t{OPTIONS}
REGISTER\tset_id=3\tmembers_list=2
ITEM\tshare=1\tlifecycle=healthy\ttype=big\tserver=10.0.0.1:80\tcampus=a\tpod=0
ITEM\tlifecycle=healthy\tserver=10.0.0.2:80\tcolour=red
MEMBERSHIP\tset_id=3\tkind=C\tgen=1
"""
DEMAND = "DEMAND\tid=c:a\tpartition_key=k\tnot_after_ns=900000000\tcategory=read\tnew_field=1\n"


def run(text: str) -> tuple[int, list[str], str]:
    output, errors = io.StringIO(), io.StringIO()
    status = drill.run(io.StringIO(text), output, errors)
    return status, output.getvalue().splitlines(), errors.getvalue()


def test_a_request_is_sent_and_its_result_is_parsed() -> None:
    status, lines, errors = run(
        START + DEMAND + "FLUSH\n\nBATCH\tat_time_ns=2000000\nAT\tsidecar=sidecar/0\n"
        "ENDED\tid=c:a\tverdict=0\tfinal=0\ttime_taken_ns=1\tserver=10.0.0.1:80\tcopy=0\treport=cpu:0.5,x:2\n"
        "FLUSH\n"
    )
    assert (status, errors) == (0, "")
    assert lines[0] == "FROM\tsidecar=sidecar/0"
    sent = [line for line in lines if line.startswith("SUBMIT_TO")]
    assert len(sent) == 2
    assert len({line.split("\t")[2] for line in sent}) == 2
    assert lines.count("FINISHED") == 2
    assert any(line.startswith("NOTIFY_ME\thandle=0\tspan_ns=") for line in lines)


def test_an_empty_batch_is_answered() -> None:
    assert run("BATCH\tat_time_ns=1\nFLUSH\n") == (0, ["FINISHED"], "")


def test_every_event_is_parsed() -> None:
    events = [
        "HEADERS\tid=c:a\ttime_taken_ns=5\tserver=10.0.0.1:80\tcopy=0",
        "ABORTED\tid=c:a",
        "WAKEUP\thandle=0",
        "HEALTH_RESULT\tverdict=1\ttime_taken_ns=5\tserver=10.0.0.1:80\treport=active:2",
        "WHISPER\tsrc=1\toctets=aGkgNw==",
        "WHISPER\tsrc=1\toctets=-",
        "MEMBERSHIP\tset_id=0\tkind=X\tgen=2",
        "MEMBERSHIP\tset_id=3\tkind=D\tgen=2",
        "DESTROY",
    ]
    status, lines, errors = run(START + DEMAND + "\n".join(events) + "\nFLUSH\n")
    assert (status, errors, lines[-1]) == (0, "", "FINISHED")


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (mi.Send("c:a", "s", 5), "SUBMIT_TO\tid=c:a\tserver=s\tcap_ns=5"),
        (mi.Send("c:a", "s"), "SUBMIT_TO\tid=c:a\tserver=s"),
        (mi.Reject("c:a"), "OVERLOAD_REPLY\tid=c:a"),
        (mi.Reject("c:a", 7), "OVERLOAD_REPLY\tid=c:a\tcool_down_ns=7"),
        (mi.Fail("c:a"), "FAIL\tid=c:a"),
        (mi.Cancel("c:a", 2), "DROP_ATTEMPT\tid=c:a\tcopy=2"),
        (mi.SetTimer(7, 5), "NOTIFY_ME\thandle=7\tspan_ns=5"),
        (mi.Probe("s"), "HEALTH_CHECK\tserver=s"),
        (mi.CloseIdle("s"), "SHUT_IDLE\tserver=s"),
        (mi.PeerSend(None, b"hi 7"), "PUBLISH\twhom=all\toctets=aGkgNw=="),
        (mi.PeerSend(3, b""), "PUBLISH\twhom=3\toctets=-"),
        (mi.Subscribe(False), "SUBSCRIBE\twant=0"),
        (mi.FetchList(), "QUERY_ALL"),
        (mi.Log("two\tservers\nknown"), "TRACE\ttext=two servers known"),
    ],
)
def test_every_action_is_written(action: mi.Action, line: str) -> None:
    assert drill.WRITERS[type(action)](action) == line


def test_settings_are_translated() -> None:
    fields = dict(pair.split("=", 1) for pair in OPTIONS.split("\t"))
    fields |= {
        "orgs.count": "1",
        "orgs.0.name": "north",
        "orgs.0.fraction": "0.25",
        "orgs.0.quota_per_s": "12.5",
        "membership_mode": "ask",
        "weight_source": "rough",
        "report.fields": "active,cpu,x0",
        "contract.cold_share": "0.14",
    }
    settings = drill.read_settings(fields)
    assert settings.classes == (mi.RequestClass("read", 400_000_000, 2_000_000_000, repeat=mi.Repeat.SAFE),)
    assert settings.tenants == (mi.Tenant("north", 0.25, 12.5),)
    assert settings.ask_for_list
    assert settings.sized_weights
    assert settings.report_fields == ("inflight", "util", "x0")
    assert settings.contract.cold_share == 0.14
    assert settings.limits.cancel
    assert not settings.limits.probes


def test_an_unknown_message_is_skipped_with_a_note() -> None:
    status, lines, errors = run(START + "FANFARE\tloud=1\nFLUSH\n")
    assert (status, lines[-1]) == (0, "FINISHED")
    assert errors == "iristrack: unknown message FANFARE skipped\n"


@pytest.mark.parametrize(
    ("text", "number", "message"),
    [
        ("FLUSH\n", 1, "FLUSH outside a batch"),
        ("BATCH\tat_time_ns=soon\n", 1, "is no whole number"),
        ("BATCH\n", 1, "at_time_ns is missing"),
        ("BATCH\tat_time_ns\n", 1, "has no value"),
        ("BATCH\tat_time_ns=1\nBATCH\tat_time_ns=1\n", 2, "BATCH inside a batch"),
        ("BATCH\tat_time_ns=1\nWAKEUP\thandle=1\n", 2, "before any instance"),
        ("BATCH\tat_time_ns=1\nAT\tsidecar=sidecar/9\nWAKEUP\thandle=1\n", 3, "which is not started"),
        ("BATCH\tat_time_ns=1\nITEM\tserver=a\n", 2, "ITEM without a server list"),
        (START + "DEMAND\tid=c:a\tcategory=read\n", 8, "not_after_ns is missing"),
        (START + "DEMAND\tid=c:a\tcategory=read\tnot_after_ns=x\n", 8, "is no whole number"),
        (START + "ENDED\tid=c:a\tverdict=99\tserver=s\n", 8, "is unknown"),
        (START + "ENDED\tid=c:a\tverdict=1\tserver=s\treport=cpu:hot\n", 8, "is not a number"),
        (START + "MEMBERSHIP\tset_id=9\tkind=F\tgen=1\n", 8, "is not registered"),
        (START + "REGISTER\tset_id=1\tmembers_list=1\nFLUSH\n", 9, "server list entries are missing"),
        (START + "WHISPER\tsrc=1\toctets=***\n", 8, "is not base64"),
    ],
)
def test_an_invalid_line_ends_the_process_with_one_error_line(text: str, number: int, message: str) -> None:
    status, _, errors = run(text)
    assert status == 2
    assert errors.count("\n") == 1
    assert errors.startswith(f"iristrack: line {number}: ")
    assert message in errors


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    status, _, errors = run(START)
    assert (status, errors) == (2, "iristrack: input ended inside a batch\n")


def test_a_failure_of_the_balancer_is_reported_in_the_reply() -> None:
    status, lines, errors = run(START.replace("promise_ns=400000000", "promise_ns=0") + "FLUSH\n")
    assert (
        status == 2
    )  # the instance did not start, so the server list that follows is for an unknown instance
    assert "Traceback" in errors
    status, lines, errors = run(
        START.replace("promise_ns=400000000", "promise_ns=0").split("REGISTER")[0] + "FLUSH\n"
    )
    assert lines == [
        "FROM\tsidecar=sidecar/0",
        "DIE\ttext=ValueError: setting classes.aim_ns is out of range",
        "FINISHED",
    ]
    assert status == 0


def test_the_process_uses_its_standard_streams() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "iristrack.drill"],
        input=START + DEMAND + "FLUSH\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0
    assert completed.stdout.endswith("FINISHED\n")
    assert completed.stderr == ""
