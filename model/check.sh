#!/usr/bin/env bash
# Checks the models with Spin: each must hold, and must fail once any one of its
# rules is removed. Installs Spin if another version is found or none.
# Usage: check.sh VERSION
set -euo pipefail
cd "$(dirname "$0")"
version=$1
models=$PWD
if ! command -v spin >/dev/null || ! spin -V | grep -q "Version $version "; then
  apt-get update -qq
  apt-get install -y -qq "spin=$version*" gcc libc6-dev
fi
spin -V | grep -q "Version $version " || { echo "spin $version is needed"; exit 1; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL [MACRO]: checks a model without the rule that the macro removes.
# Prints "holds", "fails", or "broken" if Spin gave no result. Returns 1 if Spin
# reached its limit of depth or memory.
check() {
  local dir="$work/$1${2:+-$2}"
  mkdir -p "$dir"
  (
    cd "$dir"
    spin ${2:+-D$2} -a "$models/$1.pml" >spin.out 2>&1 || return 0
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
    ./pan -m1000000 -w24 >pan.out 2>&1 || true
  ) || true
  if grep -q "max search depth too small\|out of memory\|pan: reached" "$dir/pan.out"; then
    cat "$dir/pan.out" >&2
    return 1
  fi
  case $(grep -o "errors: [0-9]*" "$dir/pan.out") in
    "errors: 0") echo holds ;;
    "errors: 1") echo fails ;;
    *) cat "$dir/spin.out" "$dir/pan.out" >&2; echo broken ;;
  esac
}

# states MODEL: prints the number of states that Spin visited.
states() { grep "states, stored" "$work/$1/pan.out" | awk '{print $1}'; }

failed=0
# expect WANT MODEL [MACRO]: compares the result of check with the expected one.
expect() {
  local got
  got=$(check "$2" "${3:-}")
  if [ "$got" = "$1" ]; then
    echo "ok model=$2 without=${3:-nothing} result=$got"
  else
    echo "FAIL model=$2 without=${3:-nothing} got=$got want=$1"
    failed=1
  fi
}

for model in permits orders; do
  expect holds $model
  echo "model=$model states=$(states $model)"
  # The macros are the words in capitals in the comment on rules.
  for macro in $(sed -n '/removes one rule/,/\*\//p' $model.pml | grep -o '\b[A-Z][A-Z_]*\b'); do
    expect fails $model "$macro"
  done
done
exit $failed
