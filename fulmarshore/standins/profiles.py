"""Profiles of the randomised runs: the same in every CI run, long in a soak.

Importing this module loads the profile. ``FULMARSHORE_SOAK_SEED`` asks for the
long one, with hypothesis' own seed flag replaced by that number.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

SOAK_EXAMPLES = 5_000
CI_EXAMPLES = 100

_SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile(
    "ci",
    max_examples=CI_EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=_SLOW,
)
settings.register_profile(
    "soak",
    max_examples=SOAK_EXAMPLES,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=_SLOW,
)
settings.load_profile("soak" if "FULMARSHORE_SOAK_SEED" in os.environ else "ci")
