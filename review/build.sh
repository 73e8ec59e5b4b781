#!/usr/bin/env bash
# The stand-ins are Python modules of the standard library: compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
