# Functions for scripts that run a fleet of processes on this machine: routers,
# the platform's stand-ins, engines and applications. To be sourced.
#
# fleet_begin DIR PORT       DIR takes settings and logs, PORT and the 999 above
#                            it are used
# fleet_router ID DC SEAT [POLICY]
# fleet_engines PREFIX POOL DC COUNT [SETTING...]
# fleet_service ID POOL DC
# fleet_start                starts everything that was declared
# fleet_publish SHEET        puts a sheet into force and waits for the routers
# fleet_end                  ends the processes that were started here

BIN=${BIN:-bin}

fleet_begin() {
  FLEET_DIR=$1
  FLEET_PORT=$2
  FLEET_PIDS=()
  FLEET_ROUTERS=()
  FLEET_ENGINES=()
  FLEET_SERVICES=()
  FLEET_PARTS=()
  FLEET_LEASE=${FLEET_LEASE:-4s}
  FLEET_NEXT_ENGINE=$((FLEET_PORT + 300))
  FLEET_NEXT_SERVICE=$((FLEET_PORT + 600))
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  FLEET_LOG=127.0.0.1:$((FLEET_PORT + 1))
  FLEET_LIST=127.0.0.1:$((FLEET_PORT + 2))
  printf '[log]\nlisten = %s\nrate = %s\nlevel = warn\n' "$FLEET_LOG" "${FLEET_LOG_RATE:-300}" >"$FLEET_DIR/log.ini"
  printf '[list]\nlisten = %s\nlag = %s\nlevel = warn\n' "$FLEET_LIST" "${FLEET_LIST_LAG:-500ms}" >"$FLEET_DIR/list.ini"
}

# fleet_listed ID ROLE DC ADDRESS [LINE...]: a row of the list of instances.
fleet_listed() {
  local id=$1 role=$2 dc=$3 address=$4
  shift 4
  {
    printf '\n[instance %s]\nrole = %s\ndatacentre = %s\naddress = %s\n' "$id" "$role" "$dc" "$address"
    printf '%s\n' "$@"
  } >>"$FLEET_DIR/list.ini"
}

fleet_router() {
  local id=$1 dc=$2 seat=$3 policy=${4:-fleet}
  local port=$((FLEET_PORT + 100 + 10 * ${#FLEET_ROUTERS[@]}))
  FLEET_ROUTERS+=("$id:$port")
  FLEET_PARTS+=("camphorpulley $id")
  cat >"$FLEET_DIR/$id.ini" <<EOF
[router]
id = $id
datacentre = $dc
seat = $seat
listen = 127.0.0.1:$((port + 1))
peer = 127.0.0.1:$((port + 2))
operator = 127.0.0.1:$((port + 3))
policy = $policy
lease = $FLEET_LEASE

[platform]
log = $FLEET_LOG
list = $FLEET_LIST

[limits]
shutdown = ${FLEET_SHUTDOWN:-20s}
stall = ${FLEET_STALL:-2s}
home = ${FLEET_HOME:-40ms}

[log]
level = ${FLEET_LEVEL:-info}
EOF
  fleet_listed "$id" entry "$dc" "127.0.0.1:$((port + 2))" "seat = $seat"
}

fleet_engines() {
  local prefix=$1 pool=$2 dc=$3 count=$4 i
  shift 4
  FLEET_PARTS+=("lab-engine $prefix")
  {
    printf '[engine]\nid = %s\nlisten = 127.0.0.1:%s\ncount = %s\n' "$prefix" "$FLEET_NEXT_ENGINE" "$count"
    printf '%s\n' "$@"
  } >"$FLEET_DIR/$prefix.ini"
  for ((i = 1; i <= count; i++)); do
    fleet_listed "$prefix$i" upstream "$dc" "127.0.0.1:$FLEET_NEXT_ENGINE" "pool = $pool"
    FLEET_ENGINES+=("127.0.0.1:$FLEET_NEXT_ENGINE")
    FLEET_NEXT_ENGINE=$((FLEET_NEXT_ENGINE + 1))
  done
}

fleet_service() {
  local id=$1 pool=$2 dc=$3
  local address=127.0.0.1:$FLEET_NEXT_SERVICE
  FLEET_NEXT_SERVICE=$((FLEET_NEXT_SERVICE + 1))
  FLEET_PARTS+=("lab-service $id")
  FLEET_SERVICES+=("$address")
  printf '[service]\nid = %s\nlisten = %s\nwork = 20ms\nbear = 32\n' "$id" "$address" >"$FLEET_DIR/$id.ini"
  fleet_listed "$id" upstream "$dc" "$address" "pool = $pool"
}

# fleet_run PROGRAM ID starts one process; its id is in $FLEET_DIR/ID.pid.
fleet_run() {
  "$BIN/$1" run "$FLEET_DIR/$2.ini" >>"$FLEET_DIR/$2.log" 2>>"$FLEET_DIR/$2.err" </dev/null &
  local pid=$!
  FLEET_PIDS+=("$pid")
  echo "$pid" >"$FLEET_DIR/$2.pid"
}

fleet_pid() { cat "$FLEET_DIR/$1.pid"; }

fleet_start() {
  fleet_run lab-log log
  fleet_run lab-list list
  local part
  for part in "${FLEET_PARTS[@]}"; do
    # shellcheck disable=SC2086
    fleet_run $part
  done
}

# fleet_wait SECONDS COMMAND...: repeats a command until it succeeds.
fleet_wait() {
  local tries=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# fleet_sum FIELD ADDRESS...: the sum of a number in the statistics of engines
# and applications.
fleet_sum() {
  local field=$1 address
  shift
  for address in "$@"; do
    curl -s -m 2 "http://$address/_stats" | grep -o "\"$field\":[0-9]*" | cut -d: -f2
  done | awk '{ sum += $1 } END { print sum + 0 }'
}

# fleet_violations: requests beyond what engines and applications bear.
fleet_violations() { fleet_sum violations "${FLEET_ENGINES[@]}" "${FLEET_SERVICES[@]}"; }

fleet_operators() {
  local r
  for r in "${FLEET_ROUTERS[@]}"; do
    printf -- '--router 127.0.0.1:%s ' $((${r##*:} + 3))
  done
}

# fleet_address ID: where a router listens for callers.
fleet_address() {
  local r
  for r in "${FLEET_ROUTERS[@]}"; do
    [ "${r%%:*}" = "$1" ] && echo "127.0.0.1:$((${r##*:} + 1))"
  done
}

fleet_ready() {
  curl -sf -m 2 "http://$(fleet_address "$1")/readyz"
}

fleet_publish() {
  local r
  fleet_wait 10 "$BIN/camphorctl" publish --log "$FLEET_LOG" "$1" || return 1
  for r in "${FLEET_ROUTERS[@]}"; do
    fleet_wait 30 fleet_ready "${r%%:*}" || return 1
  done
}

fleet_end() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
  done
  sleep 0.2
  for pid in "${FLEET_PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  FLEET_PIDS=()
}
