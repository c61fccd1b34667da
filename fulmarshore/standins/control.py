"""What control says, where a trial has no control host."""

from __future__ import annotations

from fulmarshore.core.records import Freshness, HeartbeatReply, LinkMessage


def list_renewals(peer: str) -> list[LinkMessage]:
    """Return the answers that show a process the stamp of control renewed.

    A process applies the first snapshot only after that.
    """
    return [
        LinkMessage(peer, HeartbeatReply(peer, Freshness(1, stamp), 0, True))
        for stamp in (1, 2)
    ]
