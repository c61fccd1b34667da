"""Stable hashes: flow keys, buckets and rendezvous scores."""

from __future__ import annotations

import math

from xxhash import xxh3_64_intdigest, xxh3_128_digest

FLOW_BYTES = 16
"""Size of the key of a flow."""
BUCKETS_PER_SERVICE = 1024
"""Buckets of each service; a power of two."""

_SCALE = float(1 << 64)


def hash_flow(service: str, host: str, port: int) -> bytes:
    """Return the 16-byte key of the flow of a caller's address to a service."""
    return xxh3_128_digest(f"{service}|{host}|{port}".encode())


def hash_request(service: str, caller: str, number: int) -> bytes:
    """Return the 16-byte key under which every copy of a request meets."""
    return xxh3_128_digest(f"{service}|{caller}|#{number}".encode())


def find_bucket(flow: bytes) -> int:
    """Return the bucket of a flow key, below ``BUCKETS_PER_SERVICE``."""
    return int.from_bytes(flow[:4], "big") % BUCKETS_PER_SERVICE


def score_candidate(service: str, bucket: int, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a candidate; the highest wins.

    The score depends on the name only, not on the incarnation, so that a
    restarted agent gets back the buckets it had.
    """
    digest = xxh3_64_intdigest(f"{service}|{bucket}|{name}".encode())
    return -weight / math.log((digest + 0.5) / _SCALE)
