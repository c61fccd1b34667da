"""Soak test: the real programs under injected faults, with invariants checked."""
