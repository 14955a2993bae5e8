"""The README's library example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

from iristrack.interface import Send


def test_the_library_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    names: dict = {}
    exec(code, names)
    assert isinstance(names["send"], Send)
    assert names["send"].server in ("a:80", "b:80")
    assert names["actions"] == []
    assert not names["balancer"].requests
