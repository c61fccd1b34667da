#!/usr/bin/env bash
# The stand-ins of the scripts are Python files without dependencies: check that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'CHECK'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
CHECK
done
