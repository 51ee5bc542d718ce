#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are plain Python and need no build;
# this checks that they and what they use can be imported after the build of the deploy
# file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review/common2 python3 -B -c "import harness, servers"
