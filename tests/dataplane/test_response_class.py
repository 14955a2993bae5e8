from __future__ import annotations

import pytest

from iristrack.dataplane.attempts import ResponseClass, classify_response
from iristrack.http1.messages import parse_head

SEAL = b"X-Iristrack-Server-Seal: s1\r\n"
NOT_EXECUTED = b"X-Iristrack-Not-Executed: 1\r\n"


def classify(status: int, lines: bytes) -> ResponseClass:
    return classify_response(parse_head(b"HTTP/1.1 %d X\r\n" % status + lines, response=True))


@pytest.mark.parametrize("status", [200, 201, 206, 299])
def test_a_success_requires_the_seal(status: int) -> None:
    assert classify(status, SEAL) is ResponseClass.SUCCESS
    assert classify(status, b"") is ResponseClass.UNKNOWN


@pytest.mark.parametrize("lines", [b"", SEAL])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_rejecting_status_requires_the_not_executed_header(status: int, lines: bytes) -> None:
    assert classify(status, lines) is ResponseClass.UNKNOWN
    assert classify(status, lines + NOT_EXECUTED) is ResponseClass.NOT_EXECUTED


@pytest.mark.parametrize("lines", [b"", SEAL, NOT_EXECUTED])
def test_a_421_means_not_executed(lines: bytes) -> None:
    assert classify(421, lines) is ResponseClass.NOT_EXECUTED


@pytest.mark.parametrize("lines", [b"", SEAL])
@pytest.mark.parametrize("status", [300, 304, 400, 404, 409, 499, 500, 502, 504, 599])
def test_any_other_status_is_a_failure(status: int, lines: bytes) -> None:
    assert classify(status, lines) is ResponseClass.FAILURE


@pytest.mark.parametrize("status", [200, 400, 429, 500, 503])
def test_the_not_executed_header_decides(status: int) -> None:
    assert classify(status, NOT_EXECUTED + SEAL) is ResponseClass.NOT_EXECUTED
