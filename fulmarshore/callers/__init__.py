"""The library for callers that state requests."""
