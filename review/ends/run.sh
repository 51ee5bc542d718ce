#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it did not run.
folder="$(realpath "$(dirname "$0")")"
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 "$folder/case.py"
