"""hypothesis profiles: deterministic in CI, randomised and longer in a soak.

Importing this module loads a profile. If ``FULMARSHORE_SOAK_SEED`` is set, it is
the soak profile, and hypothesis draws every example from that seed, as with the
``--hypothesis-seed`` flag of its pytest plugin. ``FULMARSHORE_SOAK_EXAMPLES`` is
the number of examples per test.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, core, settings

SEED_VARIABLE = "FULMARSHORE_SOAK_SEED"
EXAMPLES_VARIABLE = "FULMARSHORE_SOAK_EXAMPLES"
SOAK_EXAMPLES = 1_000
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
# A derandomised profile ignores the seed, and hypothesis derandomises by default
# if the variable CI is set.
settings.register_profile(
    "soak",
    max_examples=int(os.environ.get(EXAMPLES_VARIABLE, SOAK_EXAMPLES)),
    derandomize=False,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=_SLOW,
)
if SEED_VARIABLE in os.environ:
    core.global_force_seed = int(os.environ[SEED_VARIABLE])
    settings.load_profile("soak")
else:
    settings.load_profile("ci")
