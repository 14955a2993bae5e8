"""The configuration, which has the meaning of the simulator's first message, and the log."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from stage import ROOT, SETTINGS

from iristrack import interface as mi
from iristrack.config import ConfigError, flatten, load_config, read_address, read_settings
from iristrack.runtime.log_sink import nonblocking_sink


def test_nested_settings_mean_the_same_as_flat_ones() -> None:
    nested = {"a": {"b": [1, 2.0, True]}, "c": [{"d": None, "e": "x"}], "f": 0.5, "g": []}
    flat = {"a.b": "1,2,true", "c.count": "1", "c.0.e": "x", "f": "0.5", "g": ""}
    assert flatten(nested) == flat
    settings = read_settings(flatten(SETTINGS))
    assert [c.repeat for c in settings.classes] == [mi.Repeat.SAFE, mi.Repeat.KEYED]
    assert (settings.tenants[0].name, settings.report_fields) == ("north", ("util", "inflight"))
    assert settings.limits.cancel and settings.limits.max_attempts == 5


def test_the_environment_takes_precedence_over_the_file() -> None:
    example = str(ROOT / "examples" / "config.json")
    config = load_config({"NODE_CONFIG": example, "NODE_NAME": "n7", "NODE_LISTEN": "[::1]:9"})
    assert (config.name, config.listen, config.discovery) == ("n7", ("::1", 9), ("127.0.0.1", 8500))
    assert config.seed == 0x8C1F30D27A5BE964


@pytest.mark.parametrize("text", ["host", ":80", "h:99999", "h:x", "h:-1"])
def test_a_malformed_address_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        read_address(text)


@pytest.mark.parametrize(
    "change",
    [
        {"settings": {}},
        {"settings": {"classes": [{"name": "a"}]}},
        {"settings": {"classes": [{"name": "a", "promise_ns": 0, "deadline_ns": 5}]}},
        {"settings": {"classes": [{"name": "a", "promise_ns": "x", "deadline_ns": 5}]}},
        {"settings": 7},
        {"limits": [1]},
        {"limits": {"sockets": "many"}},
        {"listen": "nowhere"},
        {"known": [1]},
    ],
)
def test_an_invalid_configuration_raises_an_error_of_one_line(tmp_path: Path, change: dict) -> None:
    document = json.loads((ROOT / "examples" / "config.json").read_text()) | change
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    with pytest.raises(ConfigError) as caught:
        load_config({"NODE_CONFIG": str(path)})
    assert "\n" not in str(caught.value)


def test_a_log_without_a_reader_is_dropped_without_blocking() -> None:
    reading, writing = os.pipe()
    write = nonblocking_sink(writing)
    for _ in range(1000):
        write("x" * 999 + "\n")  # a blocking write would wait for ever from the 65th on
    assert os.read(reading, 1000) == b"x" * 999 + b"\n"
    os.close(reading)
    write("a line without a reader\n")
    os.close(writing)
