"""Tests of the deploy file's build, with a stand-in for pip and without network."""

import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Installs one module with the number of the installation, or breaks off halfway.
PIP = """
import os, pathlib, sys
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
runs = pathlib.Path("runs")
runs.write_text(runs.read_text() + "x")
target.mkdir(parents=True)
(target / "first.py").write_text("")
if pathlib.Path("break").exists():
    sys.exit(1)
(target / "library").mkdir()
(target / "library" / "__init__.py").write_text("")
"""


@pytest.fixture
def checkout(tmp_path):
    """Return a clean checkout with a stand-in for pip on Python's path."""
    (tmp_path / "deploy").mkdir()
    for name in ("deploy/build.py", "deploy/system.toml", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path / name)
    (tmp_path / "path").mkdir()
    (tmp_path / "path" / "pip.py").write_text(PIP)
    (tmp_path / "runs").write_text("")
    return tmp_path


def build(checkout):
    """Run the deploy file's build; return its status and how often pip ran so far."""
    command = tomllib.loads((checkout / "deploy/system.toml").read_text())["build"]
    done = subprocess.run(
        ["sh", "-c", command],
        cwd=checkout,
        env={
            "PATH": f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}",
            "PYTHONPATH": str(checkout / "path"),
            "PYTHONDONTWRITEBYTECODE": "1",
        },
        capture_output=True,
    )
    return done.returncode, len((checkout / "runs").read_text())


def stamp_with(**values):
    def change(checkout):
        path = checkout / "target/deps/.built.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), **values}))

    return change


def empty_newer_folder(checkout):
    shutil.rmtree(checkout / "target/deps")
    (checkout / "target/deps").mkdir()


def older_folder(checkout):
    os.utime(checkout / "target/deps", (0, 0))


@pytest.mark.parametrize(
    ("change", "is_rebuilt"),
    [
        (lambda checkout: None, False),
        (older_folder, False),
        (lambda checkout: (checkout / "target/deps/__pycache__").mkdir(), False),
        (lambda checkout: (checkout / "target/deps.new").mkdir(), False),
        (empty_newer_folder, True),
        (lambda checkout: shutil.rmtree(checkout / "target"), True),
        (lambda checkout: shutil.rmtree(checkout / "target/deps/library"), True),
        (lambda checkout: (checkout / "target/deps/.built.json").unlink(), True),
        (lambda checkout: (checkout / "target/deps/.built.json").write_text("{"), True),
        (lambda checkout: (checkout / "requirements.txt").write_text("a==1\n"), True),
        (stamp_with(python="3.9.1"), True),
        (stamp_with(machine="Linux other"), True),
        (stamp_with(abi="cpython-39-other"), True),
    ],
)
def test_a_folder_counts_as_built_only_if_it_is_whole(checkout, change, is_rebuilt):
    """Guards against a VM that starts without its libraries or with foreign ones."""
    assert build(checkout) == (0, 1)
    change(checkout)
    assert build(checkout) == (0, 1 + is_rebuilt)
    found = sorted(path.name for path in (checkout / "target/deps").glob("[!_.]*"))
    assert found == ["first.py", "library"]
    assert build(checkout) == (0, 1 + is_rebuilt)


def test_a_build_that_breaks_off_is_made_again(checkout):
    """Guards against a folder that is only half full and counts as built."""
    (checkout / "break").touch()
    assert build(checkout) == (1, 1)
    assert not (checkout / "target/deps").exists()
    (checkout / "break").unlink()
    assert build(checkout) == (0, 2)


def test_a_failed_rebuild_keeps_what_was_there(checkout):
    """Guards against a build that destroys what a running VM uses."""
    build(checkout)
    (checkout / "requirements.txt").write_text("a==1\n")
    (checkout / "break").touch()
    assert build(checkout) == (1, 2)
    assert (checkout / "target/deps/library").is_dir()


def test_everything_is_made_under_target(checkout):
    """Guards against a build that leaves files in the tree."""
    before = set(checkout.iterdir())
    build(checkout)
    assert set(checkout.iterdir()) - before == {checkout / "target"}
