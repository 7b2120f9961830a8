#!/usr/bin/env bash
# The stand-ins of cases 6 and up are Python programs: nothing is compiled. This
# checks that they can be run and that the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins-2/deployment.py
rm -rf review/standins-2/__pycache__
test -x target/bin/toucanhollow
