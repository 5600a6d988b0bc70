#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the crash.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 case.py
