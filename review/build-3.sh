#!/bin/sh
# Builds the stand-ins of the third review: Python files without dependencies.
set -e
cd "$(dirname "$0")"
for file in rig3.py 1[1-5]/run.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
