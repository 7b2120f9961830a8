#!/usr/bin/env bash
# Checks what the cases 11 to 15 need: the stand-ins are Python programs and
# need no compiler.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins-3/*.py
for folder in 11 12 13 14 15; do
  if [ -e "$folder/case.py" ]; then
    python3 -m py_compile "$folder/case.py"
  fi
done
rm -rf standins-3/__pycache__ ./*/__pycache__
test -x ../target/bin/toucanhollow || echo "build the deploy file first: target/bin/toucanhollow is missing"
