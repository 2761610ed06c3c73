#!/usr/bin/env bash
# Kills the processes that deploy.sh started: bash experiments/stop.sh DIR
set -uo pipefail
for file in "$1"/host*.pid "$1"/engine*.pid "$1"/service*.pid "$1"/scorer*.pid "$1"/platform.pid; do
	[ -f "$file" ] || continue
	kill -KILL "$(cat "$file")" 2>/dev/null
	rm -f "$file"
done
