#!/bin/sh
# usage: run.sh    (TROUBLE=0: without the crashes)
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/7/scenario.py
