#!/bin/sh
# Builds the stand-ins of the scripts: Python files, which only have to compile.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps" exec python3 -m compileall -q review papayarelay/tests
