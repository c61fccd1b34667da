"""Messages of a control host, for tests and benches that run none."""

from __future__ import annotations

from fulmarshore.core.records import Freshness, HeartbeatReply, LinkMessage


def list_renewals(peer: str) -> list[LinkMessage]:
    """Return two heartbeat replies, the second with a newer freshness stamp.

    A process applies its first snapshot only after a stamp was renewed.
    """
    return [
        LinkMessage(peer, HeartbeatReply(peer, Freshness(1, stamp), 0, True))
        for stamp in (1, 2)
    ]
