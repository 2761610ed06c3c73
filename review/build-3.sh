#!/usr/bin/env bash
# Builds what the scripts of cases 11 and 12 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/lab-3 ./review/lab-3
