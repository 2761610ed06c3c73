#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/sapphirehatch ] && [ -x target/review-3/lab-3 ] || { echo "build the deploy file's build and review/build-3.sh first" >&2; exit 2; }
exec target/review-3/lab-3 deadly "$folder"
