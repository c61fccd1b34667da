"""Hashes that all processes agree on: flow keys, buckets, rendezvous scores."""

from __future__ import annotations

import math

from xxhash import xxh3_64_intdigest, xxh3_128_digest

FLOW_BYTES = 16
"""Size of a flow key, in bytes."""
BUCKETS_PER_SERVICE = 1024
"""Number of buckets of each service; a power of two."""

_SCALE = float(1 << 64)


def hash_flow(service: str, host: str, port: int) -> bytes:
    """Return the 16-byte key of the flow between a caller's address and a service."""
    return xxh3_128_digest(f"{service}|{host}|{port}".encode())


def hash_request(service: str, caller: str, number: int) -> bytes:
    """Return the 16-byte key of a request, the same for every resend of it."""
    return xxh3_128_digest(f"{service}|{caller}|#{number}".encode())


def find_bucket(flow: bytes) -> int:
    """Return the bucket of a flow key, below ``BUCKETS_PER_SERVICE``."""
    return int.from_bytes(flow[:4], "big") % BUCKETS_PER_SERVICE


def score_candidate(service: str, bucket: int, name: str, weight: float) -> float:
    """Return the weighted rendezvous score of a candidate; the highest wins.

    The score depends on the name and not on the incarnation, so that a
    restarted agent gets the same buckets again.
    """
    digest = xxh3_64_intdigest(f"{service}|{bucket}|{name}".encode())
    return -weight / math.log((digest + 0.5) / _SCALE)
