#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# TROUBLE=0 leaves out the disruption. KEEP=1 keeps the logs of the processes.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
