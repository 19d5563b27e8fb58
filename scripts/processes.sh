# Functions to start processes and to stop all of them at the end. Sourced by
# the scripts beside it, which run in the repository's root.
bin=${BIN:-bin}
dir=$(mktemp -d)
pids=()

stop() {
  status=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "The logs of the processes:"
    tail -n 5 "$dir"/*.log || true
  fi
  rm -rf "$dir"
  exit "$status"
}
trap stop EXIT INT TERM

# start NAME COMMAND... starts a process that logs to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

# address NAME WHAT waits until the process listens, and prints the address.
address() {
  for _ in $(seq 200); do
    local found
    found=$(sed -n "s/^listening $2 //p" "$dir/$1.log")
    if [ -n "$found" ]; then
      echo "$found"
      return
    fi
    sleep 0.05
  done
  echo "$1 doesn't listen" >&2
  return 1
}

# secrets makes the files that entry instances need.
secrets() {
  head -c 24 /dev/urandom | base64 >"$dir/secret"
  head -c 24 /dev/urandom | base64 >"$dir/token"
}

# start_entry NUMBER starts the entry instance with that number, in a data
# centre of its own. It needs $platform.
start_entry() {
  cat >"$dir/entry$1.json" <<J
{
  // Entry instance $1 of the trial run.
  "dataCentre": "luzon-$1",
  "region": "luzon",
  "callers": { "listen": "127.0.0.1:0" },
  "peers": { "listen": "127.0.0.1:0", "secretFile": "$dir/secret" },
  "operators": { "listen": "127.0.0.1:0", "tokenFile": "$dir/token" },
  "platform": { "url": "$platform", "recordsEvery": "2s" },
  "fleet": { "locateTTL": "2s" },
  "stop": { "patience": "1s" },
}
J
  start "entry$1" "$bin"/foxtailspoke-entry --settings "$dir/entry$1.json"
}
