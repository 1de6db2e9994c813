#!/bin/sh
# Byte-compiles the stand-ins of the second review, which need only Python's standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib2
