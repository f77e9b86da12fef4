#!/bin/sh
# The stand-ins of the second review are plain Python and use the standard
# library only, so that building them means checking that they compile.
set -e
cd "$(dirname "$0")/.."
for file in review/stand_ins_2.py review/[6-9]/case.py review/10/case.py; do
    if [ -f "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$file"
    fi
done
