from __future__ import annotations

from dataclasses import replace

import pytest

from iristrack.simulation.placement import KINDS, POLICIES, Setting, draw_requests, main, weigh
from iristrack.simulation.register_events import MILLISECOND, SECOND

SMALL = Setting(
    servers=8,
    sidecars=6,
    kinds=tuple(replace(kind, per_s=kind.per_s / 8, sessions=max(4, kind.sessions // 8)) for kind in KINDS),
    duration_ns=6 * SECOND,
)
SEEDS = range(2)


@pytest.mark.parametrize("name", POLICIES)
def test_each_way_answers_all_requests(name: str) -> None:
    outcome, requests = weigh(name, SMALL, range(1))
    assert outcome.unfinished == 0
    assert sum(len(waits) for waits in outcome.waits.values()) == requests > 100


def test_the_same_seed_gives_the_same_run() -> None:
    assert weigh("product", SMALL, SEEDS) == weigh("product", SMALL, SEEDS)


def test_the_product_reads_less_again_and_is_late_less_often_than_pure_two_choices() -> None:
    product, _ = weigh("product", SMALL, SEEDS)
    pure, _ = weigh("two_choices", SMALL, SEEDS)
    assert product.read_again < pure.read_again
    assert product.late < pure.late


def test_it_pays_to_know_of_others_and_to_know_early() -> None:
    late = [
        weigh("product", replace(SMALL, loads_age_ns=age * MILLISECOND), range(4))[0].late
        for age in (20, 400, -1)
    ]
    assert late[0] < late[1] < late[2]


def test_requests_come_by_their_arrival_and_end_with_a_part_of_their_own() -> None:
    import random

    requests = draw_requests(SMALL, random.Random(1))
    assert [r.arrives_ns for r in requests] == sorted(r.arrives_ns for r in requests)
    assert len({r.parts[-1].id for r in requests}) == len(requests)


def test_a_wrong_name_is_one_clear_error(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--policies", "nonesuch"])
    assert "nonesuch" in capsys.readouterr().err
