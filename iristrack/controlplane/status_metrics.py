"""The metrics of a control plane, derived from its status document (`status.py`)."""

from __future__ import annotations

from typing import Any

from iristrack.relay import topics


def status_metrics(document: dict[str, Any]) -> dict[str, int | bool]:
    """Return the metrics by name; unknown ones are left out."""
    members = document.get("members", ())
    metrics: dict[str, int | bool] = {
        "voting": bool(document.get("voting")),
        "founded": bool(document.get("founded")),
        "in_quorum": bool(document.get("in_quorum")),
        "joining": bool(document.get("joining")),
        "members": len(members),
        "members_connected": sum(bool(member.get("connected")) for member in members),
        "peers": len(document.get("peers", ())),
    }
    configuration = document.get("configuration")
    if configuration is not None:
        metrics["configuration_revision"] = configuration["revision"]
    for topic in document.get("topics", ()):
        if topic["topic"] in (topics.CONFIGURATION, topics.VERSIONS, topics.MEMBERS):
            metrics[f"{topic['topic']}_sequence"] = topic["sequence"]
    return metrics
