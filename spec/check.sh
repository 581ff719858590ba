#!/usr/bin/env bash
# Checks every specification: the correct one must hold, each broken variant
# must fail. Prints the states searched and the verdict of each.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search SPEC [MACRO]: prints "STATES ERRORS".
search() {
  local spec=$1 macro=${2:-}
  local dir="$work/$spec-${macro:-correct}"
  mkdir -p "$dir"
  cp "$spec.pml" "$dir/"
  (
    cd "$dir"
    spin ${macro:+-D$macro} -a "$spec.pml" >/dev/null
    gcc -w -O2 -DSAFETY -DNOCLAIM -DVECTORSZ=2048 -o pan pan.c
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
}

# check_correct SPEC [MACROS]: prints the verdict of the correct specification.
# The macros change its bounds.
check_correct() {
  local spec=$1 states errors
  shift
  read -r states errors < <(search "$spec" "$*")
  verdict "$spec${*:+, $*}" hold "$states" "$errors"
}

# check_broken SPEC: prints a verdict for each broken variant.
check_broken() {
  local spec=$1 states errors macro
  for macro in $(broken "$spec.pml"); do
    read -r states errors < <(search "$spec" "$macro")
    verdict "$spec/$macro" fail "$states" "$errors"
  done
}

# broken FILE...: lists the broken variants.
broken() { sed -nE 's/^ \*   (BROKEN_[A-Z]+).*/\1/p' "$@"; }

# The searches run at the same time, to stay under two minutes.
wanted=$(broken ./*.pml | wc -l)
for file in *.pml; do
  spec=${file%.pml}
  check_correct "$spec" >"$work/$spec.0" &
  check_broken "$spec" >"$work/$spec.2" &
  wanted=$((wanted + 1))
done
check_correct facts MAX_EPOCH=2 -DMAX_RESTRICTIONS=2 >"$work/facts.1" &
wanted=$((wanted + 1))
check_correct timed RESTORES >"$work/timed.1" &
wanted=$((wanted + 1))
# Without a restore, more versions can be searched.
check_correct merge MAX_VERSION=4 -DMAX_GENERATION=0 >"$work/merge.1" &
wanted=$((wanted + 1))
wait
cat "$work"/*.[012]
passed=$(cat "$work"/*.[012] | grep -c ': ok$' || true)
echo "$passed of $wanted verdicts as wanted"
[ "$passed" -eq "$wanted" ]
