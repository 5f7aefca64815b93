"""The long randomised run at a moderate length."""

import json
import os
import subprocess
import sys

import pytest

from tests import longrun


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_breach(seed):
    """Guards against faults that break an invariant only in combination."""
    result = longrun.run(seed, 400)
    assert result["breaches"] == 0, result["breach_details"]
    assert result["outcomes"]["served"] > 0
    assert result["faults"]["combined"] == 2


def test_same_seed_gives_the_same_state():
    """Guards against decisions that depend on the order of sets."""
    digests = set()
    for hash_seed in ("0", "1"):
        done = subprocess.run(
            [sys.executable, "-m", "tests.longrun", "--seed", "11", "--steps", "300"],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            check=True,
        )
        digests.add(json.loads(done.stdout)["digest"])
    assert len(digests) == 1
