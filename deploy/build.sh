#!/bin/sh
# Installs the libraries into target/deps and byte-compiles the sources, to speed up process starts.
set -eu
if [ ! deploy/requirements.txt -ot target/deps/.ready ] || [ ! constraints.txt -ot target/deps/.ready ]; then
  python3 -m pip install -q -U --disable-pip-version-check --target target/deps -c constraints.txt -r deploy/requirements.txt
  touch target/deps/.ready
fi
python3 -m compileall -q packages/*/src platform/src
