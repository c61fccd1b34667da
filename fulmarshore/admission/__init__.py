"""Admission control of upstreams, and requests that run at most once."""
