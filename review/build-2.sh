#!/bin/sh
# The stand-ins of the second review are Python programs that need the standard library alone: they run in the environment
# that the build of the deploy file makes. There is nothing to compile; this checks that all of them can be read.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python -c "
import review.rig_2.case, review.rig_2.small_site
"
