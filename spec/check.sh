#!/usr/bin/env bash
# Checks every specification: the correct one must hold, each broken variant
# must fail. Prints the states searched and the verdict of each.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# search SPEC [MACRO]: prints "STATES ERRORS".
search() {
  local spec=$1 macro=${2:-}
  local dir="$work/$spec-${macro:-correct}"
  mkdir -p "$dir"
  cp "$spec.pml" "$dir/"
  (
    cd "$dir"
    spin ${macro:+-D$macro} -a "$spec.pml" >/dev/null
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DNOCLAIM -DVECTORSZ=2048 -o pan pan.c
    ./pan -m200000 -n -w24 >out.txt 2>&1 || true
    awk '/states, stored/ {s=$1} /errors:/ {e=$NF} /max search depth too small|out of memory/ {e="incomplete"} END {print s+0, (e == "" ? "missing" : e)}' out.txt
  )
}

# verdict NAME EXPECTED STATES ERRORS
verdict() {
  local result=FAIL
  case "$2:$4" in
    hold:0) result=ok ;;
    fail:[1-9]*) result=ok ;;
  esac
  printf '%-28s must %s: %10s states, errors %s: %s\n' "$1" "$2" "$3" "$4" "$result"
  if [ "$result" = ok ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

for file in *.pml; do
  spec=${file%.pml}
  read -r states errors < <(search "$spec")
  verdict "$spec" hold "$states" "$errors"
  for macro in $(grep -oE '^ \*   BROKEN_[A-Z]+' "$file" | awk '{print $2}'); do
    read -r states errors < <(search "$spec" "$macro")
    verdict "$spec/$macro" fail "$states" "$errors"
  done
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
