#!/usr/bin/env bash
# The stand-ins of the cases are Python 3 programs without dependencies, so
# there is nothing to compile: checks that they can be read. The program under
# test is that of the deploy file, target/bin/toucanhollow.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
