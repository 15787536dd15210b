#!/usr/bin/env bash
# Measures the policy fleet and the baseline policies in one run on this machine.
# Prints one line for each figure; docs/MEASURES.md defines the figures.
# Usage: measure.sh [POLICY...]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh

POLICIES=("${@:-fleet}")
[ $# -gt 0 ] || POLICIES=(fleet oracle random robin rendezvous bounded)
SEED=${SEED:-7}
RATE=${RATE:-150}
ENGINE_SETTINGS=("bear = 16" "cold = 2" "ramp = 2s" "warm = true" "prefill = 50us" "token = 25ms"
  "memory = 60000" "lag = 200ms" "down = 500ms" "level = warn")

# declare_fleet POLICY: declares the deployment in region levant with 12 engines and
# five routers, or one router for the policy oracle.
declare_fleet() {
  local policy=$1
  fleet_add_router r1 zarqa 1 "$policy"
  if [ "$policy" != oracle ]; then
    fleet_add_router r2 zarqa 2 "$policy"
    fleet_add_router r3 amman 1 "$policy"
    fleet_add_router r4 amman 2 "$policy"
    fleet_add_router r5 irbid 1 "$policy"
  fi
  fleet_add_engines camphor-z camphor zarqa 4 "${ENGINE_SETTINGS[@]}"
  fleet_add_engines camphor-a camphor amman 4 "${ENGINE_SETTINGS[@]}"
  fleet_add_engines camphor-i camphor irbid 4 "${ENGINE_SETTINGS[@]}"
}

# load_flags: prints the flags of the load tool for the running fleet.
load_flags() {
  local r e token
  for r in "${FLEET_ROUTERS[@]}"; do printf -- '--target %s ' "$(fleet_address "${r%%:*}")"; done
  for e in "${FLEET_ENGINES[@]}"; do printf -- '--engine %s ' "$e"; done
  for token in press-floor sales-desk studio-amman studio-irbid printers perfumers; do printf -- '--token token-%s ' "$token"; done
}

# control_bytes: prints the bytes that all routers have sent and received so far,
# from their status pages.
control_bytes() {
  local r
  for r in "${FLEET_ROUTERS[@]}"; do
    curl -s -m 2 "http://127.0.0.1:$((${r##*:} + 3))/status" | grep -o '"bytes_[a-z]*":[0-9]*' | cut -d: -f2
  done | awk '{ sum += $1 } END { print sum + 0 }'
}

# measure_policy POLICY PORT: runs the load with one policy, with engine crashes in
# the phase churn and a data centre out of service in the phase leave, and prints
# the figures.
measure_policy() {
  local policy=$1 port=$2 dir=run/measure/$1
  fleet_init "$dir" "$port"
  declare_fleet "$policy"
  fleet_start
  trap fleet_stop EXIT
  sed 's/^ramp = 10s/ramp = 2s/' deploy/zarqa.ini >"$dir/sheet.ini"
  fleet_publish "$dir/sheet.ini" || return 1
  # shellcheck disable=SC2046
  "$BIN/lab-load" chats --policy "$policy" --model camphor-12b --rate "$RATE" --chats 600 --words 60 --tokens 15 \
    --seed "$SEED" --phase warm=6s --phase steady=8s --phase churn=8s --phase leave=8s $(load_flags) >"$dir/figures" &
  local load_pid=$! before after e
  sleep 6
  before=$(control_bytes)
  sleep 8
  after=$(control_bytes)
  for e in 0 4 8; do
    curl -s -m 2 -X POST "http://${FLEET_ENGINES[$e]}/_crash" >/dev/null
  done
  sleep 8
  "$BIN/camphorctl" out --log "$FLEET_LOG" amman >/dev/null
  sleep 4
  "$BIN/camphorctl" in --log "$FLEET_LOG" amman >/dev/null
  wait "$load_pid"
  grep -v 'phase=warm' "$dir/figures"
  leave_figure "$policy" "$dir/figures"
  [ "$policy" = fleet ] && echo "control policy=fleet phase=steady seed=$SEED routers=${#FLEET_ROUTERS[@]} engines=12 rate=$RATE value=$(((after - before) / 8 / 2 / ${#FLEET_ROUTERS[@]}))"
  echo "violations policy=$policy phase=all seed=$SEED engines=12 value=$(fleet_violations)"
}

# leave_figure POLICY FIGURES: prints the quotient of the 95th percentile of the
# time to first token in the phase leave and that in the phase steady.
leave_figure() {
  awk -v policy="$1" -v seed="$SEED" '
    /^first_token_ms .*phase=steady .*quantile=0.95/ { sub(/.*value=/, ""); steady = $0 }
    /^first_token_ms .*phase=leave .*quantile=0.95/ { sub(/.*value=/, ""); change = $0 }
    END { if (steady > 0) printf "leave policy=%s phase=leave seed=%s steady_ms=%s change_ms=%s quantile=0.95 value=%.3f\n", policy, seed, steady, change, change / steady }
  ' "$2"
}

# measure_overhead: compares the time to first token through a router with that of
# an engine called directly.
measure_overhead() {
  local dir=run/measure/overhead
  fleet_init "$dir" 29000
  fleet_add_router r1 zarqa 1
  fleet_add_engines camphor-z camphor zarqa 1 "bear = 1000" "cold = 1000" "memory = 1000" "level = warn"
  fleet_start
  trap fleet_stop EXIT
  sed 's/^seats = 2/seats = 1/; s/^bear = 16/bear = 1000/; s/^cold = 2/cold = 1000/' deploy/zarqa.ini >"$dir/sheet.ini"
  fleet_publish "$dir/sheet.ini" || return 1
  "$BIN/lab-load" overhead --target "$(fleet_address r1)" --engine "${FLEET_ENGINES[0]}" --model camphor-12b \
    --token token-press-floor --rate "${OVERHEAD_RATE:-300}" --time 4s
}

mkdir -p run/measure
[ "${OVERHEAD:-yes}" = no ] || (measure_overhead)
port=22000
for policy in "${POLICIES[@]}"; do
  (measure_policy "$policy" "$port" >"run/measure/$policy.out" 2>&1) &
  port=$((port + 1000))
done
wait
for policy in "${POLICIES[@]}"; do cat "run/measure/$policy.out"; done
