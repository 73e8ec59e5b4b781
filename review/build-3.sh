#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python files that need
# the standard library only; the project's programs are built by the command of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib3
