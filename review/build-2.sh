#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python programs that
# need nothing beyond the standard library: compiling them shows that they are whole.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/rig.py review/platform_rig.py review/6 review/7 review/8 review/9 review/10
