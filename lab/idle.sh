#!/usr/bin/env bash
# Measures the control traffic, processor time and memory of routers without
# requests. Usage: idle.sh [ENGINES PER DATA CENTRE]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh
trap fleet_stop EXIT
engines=${1:-4}
fleet_init run/idle 20000
for r in "r1 zarqa 1" "r2 zarqa 2" "r3 amman 1" "r4 amman 2" "r5 irbid 1"; do
  # shellcheck disable=SC2086
  fleet_add_router $r
done
for dc in zarqa amman irbid; do fleet_add_engines "camphor-$dc-" camphor "$dc" "$engines" "bear = 16" "cold = 2" "level = warn"; done
fleet_start
fleet_publish deploy/zarqa.ini || exit 1
sleep 3

# router_usage ROUTER: prints the bytes sent and the processor time in hundredths
# of a second since the start of a router.
router_usage() {
  local address
  address=$(fleet_address "$1")
  echo "$(curl -s "http://127.0.0.1:$((${address#*:} + 2))/status" | grep -o '"bytes_sent":[0-9]*' | cut -d: -f2)" \
    "$(awk '{ print $14 + $15 }' "/proc/$(fleet_pid "$1")/stat")"
}
seconds=10
for r in r1 r3 r5; do read -r "bytes_$r" "cpu_$r" <<<"$(router_usage $r)"; done
sleep $seconds
for r in r1 r3 r5; do
  read -r bytes cpu <<<"$(router_usage $r)"
  b=bytes_$r c=cpu_$r
  echo "idle router=$r engines=$engines bytes_per_s=$(((bytes - ${!b}) / seconds)) core_percent=$(awk -v cpu=$((cpu - ${!c})) -v seconds=$seconds 'BEGIN { printf "%.2f", cpu / seconds }') memory_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$(fleet_pid $r)/status")"
done
