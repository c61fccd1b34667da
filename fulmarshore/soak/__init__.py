"""A soak: the real programs, under faults from outside, with their promises checked."""
