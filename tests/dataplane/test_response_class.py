from __future__ import annotations

import pytest

from iristrack.dataplane.attempts import ResponseClass, classify_response
from iristrack.http1.messages import parse_head

SEAL = b"X-Iristrack-Server-Seal: s1\r\n"
NOT_RUN = b"X-Iristrack-Not-Executed: 1\r\n"


def judge(status: int, lines: bytes) -> ResponseClass:
    return classify_response(parse_head(b"HTTP/1.1 %d X\r\n" % status + lines, response=True))


@pytest.mark.parametrize("status", [200, 201, 206, 299])
def test_a_success_counts_with_the_seal_alone(status: int) -> None:
    assert judge(status, SEAL) is ResponseClass.SUCCESS
    assert judge(status, b"") is ResponseClass.UNKNOWN


@pytest.mark.parametrize("lines", [b"", SEAL])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_promises_counts_as_a_promise_only_where_the_server_says_so(
    status: int, lines: bytes
) -> None:
    assert judge(status, lines) is ResponseClass.UNKNOWN
    assert judge(status, lines + NOT_RUN) is ResponseClass.NOT_EXECUTED


@pytest.mark.parametrize("lines", [b"", SEAL, NOT_RUN])
def test_another_instance_or_version_has_not_run_it(lines: bytes) -> None:
    assert judge(421, lines) is ResponseClass.NOT_EXECUTED


@pytest.mark.parametrize("lines", [b"", SEAL])
@pytest.mark.parametrize("status", [300, 304, 400, 404, 409, 499, 500, 502, 504, 599])
def test_any_other_status_is_the_servers_answer(status: int, lines: bytes) -> None:
    assert judge(status, lines) is ResponseClass.FAILURE


@pytest.mark.parametrize("status", [200, 400, 429, 500, 503])
def test_what_a_server_says_not_to_have_run_has_not_run(status: int) -> None:
    assert judge(status, NOT_RUN + SEAL) is ResponseClass.NOT_EXECUTED
