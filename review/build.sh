#!/bin/sh
# Builds the stand-ins: they are Python files of this folder, run by the interpreter of the deploy file's build.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q standins.py [0-9]
