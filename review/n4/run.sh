#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/n4/case.py
