# Sourced by the scripts here: builds both binaries into a temporary folder,
# keeps the ids of what was started, and ends just that at the exit.

work=$(mktemp -d)
started=()

cleanup() {
  local pid
  for pid in "${started[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait
  rm -rf "$work"
}
trap cleanup EXIT

build() { go build -o "$work/" ./cmd/peridotpier ./cmd/pierctl; }

# start_site SITE HOSTS: the stand-ins, then settings for HOSTS hosts in $work/site.
start_site() {
  mkdir -p "$work/site"
  "$work/pierctl" standin --site "$1" --hosts "$2" --dir "$work/site" >"$work/standin.out" 2>&1 &
  started+=($!)
  await "$work/site/layout.json" "$work/standin.out"
}

# start_host N: entry host N as a process; its id goes to $host_pid.
start_host() {
  "$work/peridotpier" serve --settings "$work/site/entry-$1.json" 2>"$work/entry-$1.log" &
  host_pid=$!
  started+=("$host_pid")
}

# await FILE LOG: until FILE exists, for 30 s at most.
await() {
  local n
  for n in $(seq 300); do
    [ -e "$1" ] && return 0
    sleep 0.1
  done
  echo "no $1 after 30 s:" >&2
  cat "$2" >&2
  return 1
}
