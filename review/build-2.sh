#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the deploy file's programs.
# The stand-ins are Python files that run from the tree; they are compiled here, so that a
# broken one is noticed.
cd "$(dirname "$0")/.." || exit 2
for file in review/6 review/7 review/8 review/9 review/10; do
    for script in "$file"/*.py; do
        [ -e "$script" ] || continue
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script" || exit 1
    done
done
