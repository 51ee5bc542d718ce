#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python modules of this folder and
# of the project, so that compiling them shows that they can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD"
python3 -m compileall -q review/common3 soak/proxy.py verbenagrade
python3 -c "import review.common3.links, review.common3.record"
