#!/usr/bin/env bash
# Runs the formatter and the linter on every source file; fails on a finding.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.hpp' \
    | xargs clang-format --dry-run --Werror
git ls-files -co --exclude-standard '*.cpp' \
    | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/tmp/lint.$$ \
    || { grep -v 'warnings\? generated\|Suppressed\|Use -header' \
         /tmp/lint.$$ || true; rm -f /tmp/lint.$$; exit 1; }
rm -f /tmp/lint.$$
# Text from outside is parsed in one place, which bounds its nesting.
if git grep --untracked -n 'json::\(parse\|sax_parse\|from_\)' -- packages platform \
    ':!packages/core/src/json_text.cpp'; then
    echo "use parse_json() instead" >&2
    exit 1
fi
echo "formatter and linter: clean"
