#!/usr/bin/env bash
# The stand-ins are Python modules on the standard library, run by the environment that the deploy file builds. Nothing has
# to be compiled; this checks that they load.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c "import review.stand_ins.client, review.stand_ins.fleet, review.stand_ins.settings"
