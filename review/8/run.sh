#!/bin/sh
# usage: run.sh    (TROUBLE=0: without the worker that fails)
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/8/scenario.py
