"""Installs the dependencies that pyproject.toml declares into ``target/deps``."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "target" / "deps"


def main() -> None:
    """Installs them unless the same list is installed already."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    wanted = "\n".join(project["dependencies"])
    stamp = TARGET / ".installed"
    if stamp.exists() and stamp.read_text() == wanted:
        return
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    subprocess.run(
        [*command, "--target", str(TARGET), *project["dependencies"]], check=True
    )
    stamp.write_text(wanted)


if __name__ == "__main__":
    main()
