"""Single flight: which server prefills a shared prefix first."""

from __future__ import annotations

import pytest

from iristrack.prefix_index.parts import Part
from iristrack.prefix_index.pending_prefills import EXPIRY_NS, ExpectedPrefix, PendingPrefills, Reader

A, B = "10.0.0.1:8080", "10.0.0.2:8080"
SALT, MODEL = "v1", "daka510000"
OWN, OTHERS_OWN = Part("0e", 250), Part("0f", 260)
SYSTEM, DOCUMENT, OTHER_DOCUMENT = Part("aa", 800), Part("bb", 410), Part("cc", 500)
PROMPT = (SYSTEM, DOCUMENT, OWN)


def test_a_request_with_the_same_shared_parts_finds_the_reader() -> None:
    reads = PendingPrefills()
    assert reads.reader(SALT, MODEL, PROMPT, 0) is None
    reads.begin(SALT, MODEL, PROMPT, A, 5)
    assert reads.reader(SALT, MODEL, (SYSTEM, DOCUMENT, OTHERS_OWN), 6) == Reader(A, 5)


def test_the_longest_shared_prefix_counts() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, (SYSTEM, OWN), A, 1)
    reads.begin(SALT, MODEL, (SYSTEM, DOCUMENT, OWN), B, 2)
    assert reads.reader(SALT, MODEL, (SYSTEM, DOCUMENT, OTHERS_OWN), 3) == Reader(B, 2)
    assert reads.reader(SALT, MODEL, (SYSTEM, OTHER_DOCUMENT, OTHERS_OWN), 3) == Reader(A, 1)
    assert reads.reader(SALT, MODEL, (SYSTEM, OTHERS_OWN), 3) == Reader(A, 1)


def test_the_last_part_is_not_shared() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, (OWN,), A, 0)
    reads.begin(SALT, MODEL, (), A, 0)
    assert len(reads) == 0
    assert reads.reader(SALT, MODEL, (OWN,), 0) is None
    assert reads.reader(SALT, MODEL, (), 0) is None


def test_a_part_after_others_is_a_different_prefix() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 0)
    assert reads.reader(SALT, MODEL, (DOCUMENT, OTHERS_OWN), 0) is None
    assert reads.reader(SALT, MODEL, (DOCUMENT, SYSTEM, OTHERS_OWN), 0) is None


def test_another_salt_or_model_never_matches() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 0)
    assert reads.reader("v2", MODEL, PROMPT, 0) is None
    assert reads.reader(SALT, "other", PROMPT, 0) is None


def test_the_first_reader_is_kept() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 0)
    reads.begin(SALT, MODEL, PROMPT, B, 1)
    reads.begin(SALT, MODEL, PROMPT, A, 2)
    assert reads.reader(SALT, MODEL, PROMPT, 2) == Reader(A, 0)


def test_only_the_reader_ends_a_prefill() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 0)
    reads.end(SALT, MODEL, PROMPT, B)
    assert reads.reader(SALT, MODEL, PROMPT, 0) == Reader(A, 0)
    reads.end(SALT, MODEL, PROMPT, A)
    reads.end(SALT, MODEL, PROMPT, A)
    assert reads.reader(SALT, MODEL, PROMPT, 0) is None
    assert len(reads) == 0


def test_a_prefill_that_is_not_ended_expires() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 10)
    assert reads.reader(SALT, MODEL, PROMPT, 10 + EXPIRY_NS - 1) == Reader(A, 10)
    assert reads.reader(SALT, MODEL, PROMPT, 10 + EXPIRY_NS) is None
    reads.begin(SALT, MODEL, PROMPT, B, 10 + EXPIRY_NS)
    assert reads.reader(SALT, MODEL, PROMPT, 10 + EXPIRY_NS) == Reader(B, 10 + EXPIRY_NS)


def test_prefills_of_a_holder_that_is_gone_are_removed() -> None:
    reads = PendingPrefills()
    reads.begin(SALT, MODEL, PROMPT, A, 0)
    reads.begin("v2", MODEL, PROMPT, B, 0)
    reads.forget(A)
    assert reads.reader(SALT, MODEL, PROMPT, 0) is None
    assert reads.reader("v2", MODEL, PROMPT, 0) == Reader(B, 0)


def test_the_oldest_prefills_are_evicted_at_the_limit() -> None:
    reads = PendingPrefills(most_reads=2)
    for number in range(3):
        reads.begin(f"v{number}", MODEL, (SYSTEM, OWN), A, number)
    assert (len(reads), reads.evicted) == (2, 1)
    assert reads.reader("v0", MODEL, (SYSTEM, OWN), 3) is None
    assert reads.reader("v1", MODEL, (SYSTEM, OWN), 3) == Reader(A, 1)


def test_a_limit_of_zero_is_refused() -> None:
    with pytest.raises(ValueError):
        PendingPrefills(most_reads=0)


def test_the_expected_tokens_are_those_of_the_longest_pending_prefix() -> None:
    reads = PendingPrefills()
    assert reads.expected(SALT, MODEL, PROMPT, 0) is None
    reads.begin(SALT, MODEL, (SYSTEM, OWN), A, 1)
    assert reads.expected(SALT, MODEL, (SYSTEM, DOCUMENT, OTHERS_OWN), 2) == ExpectedPrefix(A, 800)
    reads.begin(SALT, MODEL, (SYSTEM, DOCUMENT, OWN), B, 2)
    assert reads.expected(SALT, MODEL, (SYSTEM, DOCUMENT, OTHERS_OWN), 3) == ExpectedPrefix(B, 1210)
    assert reads.expected("v2", MODEL, PROMPT, 3) is None
    assert reads.expected(SALT, MODEL, PROMPT, 3 + EXPIRY_NS) is None
