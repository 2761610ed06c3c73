#!/usr/bin/env bash
# Builds the stand-ins of the cases. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/reviewlab ./review/lab
