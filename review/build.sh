#!/usr/bin/env bash
# The stand-ins need no build beyond that of the deploy file; checks that they load.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import review.common.case, review.common.consumption"
