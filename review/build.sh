#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python on the deploy file's virtual environment: nothing is installed.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
