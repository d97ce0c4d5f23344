#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/9 start beside target/papayashelf. Their stand-ins are Python programs that use the
# standard library only (review/common-2), so there is nothing to compile; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.py [0-9]*/run.py; do
    /usr/bin/python3 - "$file" <<'CHECK'
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text())
CHECK
done
