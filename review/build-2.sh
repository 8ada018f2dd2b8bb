#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the daemons of the deploy file. All stand-ins are Python
# programs (review/common2.py and platform/standin/fleet.py, with the standard library only), so they are only checked.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import glob
for name in ["platform/standin/fleet.py", "review/common2.py", *sorted(glob.glob("review/[6-9]/case.py") + glob.glob("review/10/case.py"))]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
