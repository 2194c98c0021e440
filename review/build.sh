#!/bin/sh
# The stand-ins under review/standin are plain Python with the standard library only: nothing is to be built but checked.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 -c "
import ast, pathlib
for p in pathlib.Path('.').rglob('*.py'):
    ast.parse(p.read_text(), str(p))
"
