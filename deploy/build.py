"""Installs the dependencies that pyproject.toml declares into ``target/deps``."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TARGET = ROOT / "target" / "deps"


def main() -> None:
    """Installs the dependencies unless the same list is already installed."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    dependencies = "\n".join(project["dependencies"])
    stamp = TARGET / ".installed"
    if stamp.exists() and stamp.read_text() == dependencies:
        return
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
    subprocess.run(
        [*command, "--target", str(TARGET), *project["dependencies"]], check=True
    )
    stamp.write_text(dependencies)


if __name__ == "__main__":
    main()
