#!/bin/sh
# Builds what the cases start beside the balancer. The stand-ins are Python scripts that use the standard
# library only, so they are only checked here; the balancer is built by `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
