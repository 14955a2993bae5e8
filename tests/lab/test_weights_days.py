"""Test days that announce new weights during faults: a seed always gives the same day, with the required sequence."""

from __future__ import annotations

import random
import tomllib
from itertools import pairwise

import pytest

from benchmarks.weights_days import LAST_NAMED_S, POINTS, Moments, draw_day, main

SITE = {
    "timing": {"version_ms": 8_000},
    "services": [{"name": "pool", "model": "llm"}, {"name": "store", "model": "kvstore"}],
}
BLOCK = ['name = "trouble-1"', "seed = 7", "light = true", 'closing = { kind = "kill_all" }']


def day(seed: int, *points: str) -> dict:
    text = draw_day(BLOCK, SITE, "drawn", seed, tuple(POINTS[point] for point in points))
    (drawn,) = tomllib.loads(text)["day"]
    return drawn


def announcement_times_s(drawn: dict) -> list[float]:
    return [entry["at"] for entry in drawn["plan"] if entry["kind"] == "version_bump"]


@pytest.mark.parametrize("seed", range(20))
def test_servers_crash_in_turn_while_three_versions_are_announced(seed: int) -> None:
    drawn = day(seed, "falling_servers")
    assert drawn == day(seed, "falling_servers")
    crashes = [fault for fault in drawn["faults"] if fault["kind"] == "srv_crash"]
    assert [fault["how"] for fault in crashes] == ["domain"] * 3
    announcements_s = sorted(announcement_times_s(drawn))
    assert len(announcements_s) == 3
    return_s = crashes[0]["at"] + crashes[0]["for_s"]
    assert (
        announcements_s[0] < crashes[0]["at"] < return_s < announcements_s[0] + 8.0
    )  # the server returns with older weights before the 8 s limit
    assert announcements_s[1] < announcements_s[0] + 8.0 < announcements_s[2] + 8.0


@pytest.mark.parametrize("point", sorted(POINTS.keys() - {"falling_servers"}))
@pytest.mark.parametrize("seed", range(20))
def test_servers_are_down_at_the_first_version_and_return_after_its_time_limit(point: str, seed: int) -> None:
    drawn = day(seed, point)
    assert drawn == day(seed, point)
    assert (drawn["name"], drawn["seed"], drawn["light"], "closing" in drawn) == ("drawn", seed, True, False)
    (down,) = [fault for fault in drawn["faults"] if fault["kind"] == "srv_crash"]
    first = announcement_times_s(drawn)[0]
    assert down["service"] == "pool"
    assert down["at"] < first
    assert down["at"] + down["for_s"] >= first + 8.0 - 0.01
    assert all(entry["at"] > 0 for entry in [*drawn["plan"], *drawn["faults"]])


@pytest.mark.parametrize("seed", range(20))
def test_another_version_is_announced_before_the_servers_return(seed: int) -> None:
    drawn = day(seed, "named_again")
    (down,) = [fault for fault in drawn["faults"] if fault["kind"] == "srv_crash"]
    first, second = announcement_times_s(drawn)
    assert first < second < down["at"] + down["for_s"]
    assert second <= LAST_NAMED_S


def test_moments_are_in_order() -> None:
    for seed in range(50):
        moments = Moments(random.Random(seed), 10.0)
        order = (moments.down, moments.named, moments.bound, moments.back)
        assert all(earlier <= later for earlier, later in pairwise(order))


def test_the_error_names_an_unreadable_site_file(tmp_path, monkeypatch, capsys) -> None:
    site = tmp_path / "site.toml"
    site.write_text("[[day]]\nname = \n")
    monkeypatch.setattr("sys.argv", ["weights_days", str(site), str(tmp_path / "out")])
    assert main() == 2
    assert str(site) in capsys.readouterr().err
