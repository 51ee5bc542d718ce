#!/usr/bin/env bash
# Runs the case with the build in OLD_BUILD, a built clone of an earlier commit, first for
# the VM that is cut off and then for the others. Exits as the other cases do.
folder="$(realpath "$(dirname "$0")")"
cd "$folder/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
CUT_OFF=old python3 "$folder/case.py" && CUT_OFF=new python3 "$folder/case.py"
