# Functions for scripts that run a fleet of processes on this machine: routers,
# stand-ins for the platform, engines and applications. To be sourced.
#
# fleet_init DIR PORT        empties DIR, which holds settings and logs; the fleet
#                            uses PORT and the 999 ports above it
# fleet_add_router ID DC SEAT [POLICY]
# fleet_add_engines PREFIX POOL DC COUNT [SETTING...]
# fleet_add_service ID POOL DC
#                            declare processes and write their settings
# fleet_start                starts all declared processes
# fleet_publish SHEET        publishes a sheet and waits until the routers are ready
# fleet_stop                 stops all processes that were started

BIN=${BIN:-bin}

fleet_init() {
  FLEET_DIR=$1
  FLEET_PORT=$2
  FLEET_PIDS=()
  FLEET_ROUTERS=()
  FLEET_ENGINES=()
  FLEET_SERVICES=()
  FLEET_PROCESSES=()
  FLEET_LEASE=${FLEET_LEASE:-4s}
  FLEET_NEXT_ENGINE_PORT=$((FLEET_PORT + 300))
  FLEET_NEXT_SERVICE_PORT=$((FLEET_PORT + 600))
  rm -rf "$FLEET_DIR"
  mkdir -p "$FLEET_DIR"
  FLEET_LOG=127.0.0.1:$((FLEET_PORT + 1))
  FLEET_LIST=127.0.0.1:$((FLEET_PORT + 2))
  printf '[log]\nlisten = %s\nrate = %s\nlevel = warn\n' "$FLEET_LOG" "${FLEET_LOG_RATE:-300}" >"$FLEET_DIR/log.ini"
  printf '[list]\nlisten = %s\nlag = %s\nlevel = warn\n' "$FLEET_LIST" "${FLEET_LIST_LAG:-500ms}" >"$FLEET_DIR/list.ini"
}

# fleet_list_instance ID ROLE DC ADDRESS [LINE...]: adds an instance to the
# settings of the instance list.
fleet_list_instance() {
  local id=$1 role=$2 dc=$3 address=$4
  shift 4
  {
    printf '\n[instance %s]\nrole = %s\ndatacentre = %s\naddress = %s\n' "$id" "$role" "$dc" "$address"
    printf '%s\n' "$@"
  } >>"$FLEET_DIR/list.ini"
}

fleet_add_router() {
  local id=$1 dc=$2 seat=$3 policy=${4:-fleet}
  local port=$((FLEET_PORT + 100 + 10 * ${#FLEET_ROUTERS[@]}))
  FLEET_ROUTERS+=("$id:$port")
  FLEET_PROCESSES+=("camphorpulley $id")
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
  fleet_list_instance "$id" entry "$dc" "127.0.0.1:$((port + 2))" "seat = $seat"
}

fleet_add_engines() {
  local prefix=$1 pool=$2 dc=$3 count=$4 i
  shift 4
  FLEET_PROCESSES+=("lab-engine $prefix")
  {
    printf '[engine]\nid = %s\nlisten = 127.0.0.1:%s\ncount = %s\n' "$prefix" "$FLEET_NEXT_ENGINE_PORT" "$count"
    printf '%s\n' "$@"
  } >"$FLEET_DIR/$prefix.ini"
  for ((i = 1; i <= count; i++)); do
    fleet_list_instance "$prefix$i" upstream "$dc" "127.0.0.1:$FLEET_NEXT_ENGINE_PORT" "pool = $pool"
    FLEET_ENGINES+=("127.0.0.1:$FLEET_NEXT_ENGINE_PORT")
    FLEET_NEXT_ENGINE_PORT=$((FLEET_NEXT_ENGINE_PORT + 1))
  done
}

fleet_add_service() {
  local id=$1 pool=$2 dc=$3
  local address=127.0.0.1:$FLEET_NEXT_SERVICE_PORT
  FLEET_NEXT_SERVICE_PORT=$((FLEET_NEXT_SERVICE_PORT + 1))
  FLEET_PROCESSES+=("lab-service $id")
  FLEET_SERVICES+=("$address")
  printf '[service]\nid = %s\nlisten = %s\nwork = 20ms\nbear = 32\n' "$id" "$address" >"$FLEET_DIR/$id.ini"
  fleet_list_instance "$id" upstream "$dc" "$address" "pool = $pool"
}

# fleet_start_process PROGRAM ID: starts one process and writes its process id to
# $FLEET_DIR/ID.pid.
fleet_start_process() {
  "$BIN/$1" run "$FLEET_DIR/$2.ini" >>"$FLEET_DIR/$2.log" 2>>"$FLEET_DIR/$2.err" </dev/null &
  local pid=$!
  FLEET_PIDS+=("$pid")
  echo "$pid" >"$FLEET_DIR/$2.pid"
}

fleet_pid() { cat "$FLEET_DIR/$1.pid"; }

fleet_start() {
  fleet_start_process lab-log log
  fleet_start_process lab-list list
  local process
  for process in "${FLEET_PROCESSES[@]}"; do
    # shellcheck disable=SC2086
    fleet_start_process $process
  done
}

# fleet_wait SECONDS COMMAND...: repeats a command every 0.1 s until it succeeds;
# fails after SECONDS times 10 attempts.
fleet_wait() {
  local attempts=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    attempts=$((attempts - 1))
    if [ "$attempts" -le 0 ]; then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# fleet_sum_stat FIELD ADDRESS...: prints the sum of a field in the statistics of
# engines and applications.
fleet_sum_stat() {
  local field=$1 address
  shift
  for address in "$@"; do
    curl -s -m 2 "http://$address/_stats" | grep -o "\"$field\":[0-9]*" | cut -d: -f2
  done | awk '{ sum += $1 } END { print sum + 0 }'
}

# fleet_violations: prints the number of requests that exceeded the capacity of an
# engine or application.
fleet_violations() { fleet_sum_stat violations "${FLEET_ENGINES[@]}" "${FLEET_SERVICES[@]}"; }

# fleet_operator_flags: prints the camphorctl flags that name all routers.
fleet_operator_flags() {
  local r
  for r in "${FLEET_ROUTERS[@]}"; do
    printf -- '--router 127.0.0.1:%s ' $((${r##*:} + 3))
  done
}

# fleet_address ID: prints the address at which a router listens for callers.
fleet_address() {
  local r
  for r in "${FLEET_ROUTERS[@]}"; do
    [ "${r%%:*}" = "$1" ] && echo "127.0.0.1:$((${r##*:} + 1))"
  done
}

fleet_is_ready() {
  curl -sf -m 2 "http://$(fleet_address "$1")/readyz"
}

fleet_publish() {
  local r
  fleet_wait 10 "$BIN/camphorctl" publish --log "$FLEET_LOG" "$1" || return 1
  for r in "${FLEET_ROUTERS[@]}"; do
    fleet_wait 30 fleet_is_ready "${r%%:*}" || return 1
  done
}

fleet_stop() {
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
