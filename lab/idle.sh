#!/usr/bin/env bash
# Measures what routers spend while no request comes: bytes of control traffic,
# processor time and memory for each router. Usage: idle.sh [ENGINES PER CENTRE]
set -uo pipefail
cd "$(dirname "$0")/.."
. lab/fleet.sh
trap fleet_end EXIT
engines=${1:-4}
fleet_begin run/idle 20000
for r in "r1 zarqa 1" "r2 zarqa 2" "r3 amman 1" "r4 amman 2" "r5 irbid 1"; do
  # shellcheck disable=SC2086
  fleet_router $r
done
for dc in zarqa amman irbid; do fleet_engines "camphor-$dc-" camphor "$dc" "$engines" "bear = 16" "cold = 2" "level = warn"; done
fleet_start
fleet_publish deploy/zarqa.ini || exit 1
sleep 3

# spent ROUTER: bytes sent, and processor time in hundredths of a second.
spent() {
  local port
  port=$(fleet_address "$1")
  echo "$(curl -s "http://127.0.0.1:$((${port#*:} + 2))/status" | grep -o '"bytes_sent":[0-9]*' | cut -d: -f2)" \
    "$(awk '{ print $14 + $15 }' "/proc/$(fleet_pid "$1")/stat")"
}
seconds=10
for r in r1 r3 r5; do read -r "bytes_$r" "cpu_$r" <<<"$(spent $r)"; done
sleep $seconds
for r in r1 r3 r5; do
  read -r bytes cpu <<<"$(spent $r)"
  b=bytes_$r c=cpu_$r
  echo "idle router=$r engines=$engines bytes_per_s=$(((bytes - ${!b}) / seconds)) core_percent=$(awk -v spent=$((cpu - ${!c})) -v seconds=$seconds 'BEGIN { printf "%.2f", spent / seconds }') memory_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$(fleet_pid $r)/status")"
done
