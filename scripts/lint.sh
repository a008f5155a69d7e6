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
echo "formatter and linter: clean"
