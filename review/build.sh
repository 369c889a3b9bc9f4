#!/usr/bin/env bash
# Builds the stand-ins of all cases: they are Python and need the deploy file's build alone, so this compiles
# them once, which shows that they can be read. It works without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv/bin/python -m compileall -q review
