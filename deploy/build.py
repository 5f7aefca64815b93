"""Installs the libraries of requirements.txt into target/deps, once.

Run by the deploy file at the root of the repository. A folder counts as built only if
its stamp, which is written last, names these requirements, this Python and this
machine, and if all that was installed is still there.
"""

import fcntl
import hashlib
import json
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

REQUIREMENTS = Path("requirements.txt")
TARGET = Path("target")
BUILT = TARGET / "deps"
# In the folder, so that it is moved and removed with it.
STAMP = ".built.json"
# Python makes them at any time.
CACHE = "__pycache__"


def identity():
    """Return what the libraries depend on."""
    return {
        "requirements": hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        "python": platform.python_version(),
        "abi": sysconfig.get_config_var("SOABI"),
        "machine": f"{platform.system()} {platform.machine()}",
    }


def entries(folder):
    """Return the names of what is in a folder, except for the stamp and caches."""
    return sorted(
        path.name for path in folder.iterdir() if path.name not in (STAMP, CACHE)
    )


def is_built(folder):
    """Return whether a folder is complete and made for this place."""
    try:
        stamp = json.loads((folder / STAMP).read_text())
        return stamp == {**identity(), "entries": entries(folder)}
    except (OSError, ValueError):
        return False


def build():
    """Install into a fresh folder and move it into place."""
    fresh, old = TARGET / "deps.new", TARGET / "deps.old"
    for folder in (fresh, old):
        shutil.rmtree(folder, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--target", str(fresh), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    stamp = {**identity(), "entries": entries(fresh)}
    with open(fresh / STAMP, "w", encoding="utf-8") as file:
        json.dump(stamp, file, indent=1)
        file.flush()
        os.fsync(file.fileno())
    if BUILT.exists() or BUILT.is_symlink():
        BUILT.rename(old)
    fresh.rename(BUILT)
    if old.is_symlink() or old.is_file():
        old.unlink()
    shutil.rmtree(old, ignore_errors=True)


def main():
    """Build if needed; return the exit status."""
    TARGET.mkdir(exist_ok=True)
    with open(TARGET / "build.lock", "w", encoding="utf-8") as lock:
        # Of two builds in one tree the second one finds what the first one made.
        fcntl.flock(lock, fcntl.LOCK_EX)
        if is_built(BUILT):
            return 0
        try:
            build()
        except (subprocess.CalledProcessError, OSError) as error:
            print(f"build failed: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
