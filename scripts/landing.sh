#!/usr/bin/env bash
# Runs what a landing is to be proved by, one step after the other, on the commit that is
# checked out, and prints one table. A step that has run on that commit is not run again, so
# that the script can be stopped and go on. docs/MEASUREMENTS.md tells how to read the table.
# Usage: scripts/landing.sh BENCH SITES [STEP...]
#   BENCH  the bench's program; SITES  the folder that holds its site files, at any depth
#   STEP   words of the steps to run; none: all
# JOBS is how many days the bench plays at once (4), LAST a table of an earlier landing whose
# figures stand beside the new ones.
set -uo pipefail
[ $# -ge 2 ] || { sed -n 's/^# \(Usage.*\)/\1/p' "$0" >&2; exit 2; }
bench=$(realpath "$1") sites=$(realpath "$2")
shift 2
cd "$(dirname "$0")/.."
jobs=${JOBS:-4} last=${LAST:-/dev/null}
if [ -n "$(git status --porcelain -- . ':!journal')" ]; then
  echo "there are files that are not committed" >&2
  exit 1
fi
commit=$(git rev-parse --short=8 HEAD)
state=target/landing/$commit
mkdir -p "$state"

wanted() { # name; the words of the command line
  local name=$1 word
  shift
  [ $# -eq 0 ] && return 0
  for word in "$@"; do case $name in *"$word"*) return 0 ;; esac; done
  return 1
}

names=()
step() { # name, command that prints its figure on the last line
  local name=$1 file=$state/${1//[^a-zA-Z0-9]/_} began=$SECONDS code
  shift
  names+=("$name")
  wanted "$name" "${words[@]}" || return 0
  [ -e "$file.row" ] && return
  echo "$name ..." >&2
  "$@" >"$file.log" 2>&1
  code=$?
  printf '%s|%s|%s|%d\n' "$name" "$(tail -n 1 "$file.log" | tr -d '|')" "$code" $(((SECONDS - began + 59) / 60)) >"$file.row"
}

ci() { bash .ci/run && echo passed; }

# newest prints the newest entry of the bench's journal.
newest() { find journal -maxdepth 1 -name '*.json' -printf '%T@ %p\n' | sort -n | tail -n 1 | cut -d' ' -f2-; }

hunt() { # site file, days
  local broken
  "$bench" hunt "$1" --days "$2" --jobs "$jobs" --why "landing $commit" || return
  broken=$(grep -oE '[0-9]+ with a rule broken' "$(newest)" | head -n 1)
  grep -oE '"G": ?[0-9.]+' "$(newest)" | awk -F: -v b="$broken" '{s += $2; n++} END {printf "%.3f over %d days, %s\n", s / n, n, b}'
  [ "${broken%% *}" = 0 ]
}

sweep() { "$bench" sweep "$1" --jobs "$jobs" --why "landing $commit" | tee /dev/stderr | tail -n 1; }

cases() { # number of a case, runs
  local held=0 i
  for i in $(seq "$2"); do bash "review/$1/run.sh" && held=$((held + 1)); done
  echo "held in $held of $2"
  [ "$held" = "$2" ]
}

soak() { # test, seeds, hosts
  local out
  out=$(go test ./platform -count=1 -timeout=60m -run "^$1\$" -soak.seed 7000 -soak.seeds "$2" -soak.hosts "$3" -v)
  echo "$out"
  echo "$(grep -c -- '    --- PASS' <<<"$out") of $2 seeds"
  ! grep -q -- '--- FAIL' <<<"$out"
}

guards() { bash scripts/mutations.sh | tee /dev/stderr | awk '{n[$1]++} END {printf "caught %d, others %d\n", n["caught"], NR - n["caught"]; exit NR != n["caught"]}'; }

words=("$@")
step "ci" ci
step "build of the cases" bash -c 'bash review/build.sh && bash review/build-2.sh && echo built'
for i in 1 2 3 4 5 6 7 8; do step "review/$i, 5 runs" cases "$i" 5; done
for i in earlier/fatal-part earlier/take-up; do step "review/$i, 1 run" cases "$i" 1; done
while read -r site; do
  days=40
  case $site in *-grown.toml | */fleet/* | */large/* | */shifted/*) days=8 ;; esac
  step "hunt $(basename "$site" .toml), $days days" hunt "$site" "$days"
done < <(find "$sites" -name '*.toml' | sort)
for test in TestSoak TestSoakOnce TestSoakEnds TestSoakParts TestSoakAllHostsAreKilled; do step "$test, 10 seeds" soak "$test" 10 3; done
step "TestSoakOnce, 20 hosts, 2 seeds" soak TestSoakOnce 2 20
while read -r site; do step "sweep $(basename "$site" .toml)" sweep "$site"; done < <(find "$sites" -name '*.toml' ! -name '*-grown.toml' ! -path '*/fleet/*' ! -path '*/large/*' | sort)
step "guards" guards

printf '%s\n' "| step on $commit | figure | last landing | held | minutes |" "| --- | --- | --- | --- | --- |"
for name in "${names[@]}"; do
  row=$state/${name//[^a-zA-Z0-9]/_}.row
  before=$(awk -F' *[|] *' -v n="$name" '$2 == n {print $3}' "$last")
  if [ -e "$row" ]; then
    IFS='|' read -r _ figure code minutes <"$row"
    echo "| $name | $figure | $before | $([ "$code" = 0 ] && echo yes || echo no) | $minutes |"
  else
    echo "| $name | not run | $before | | |"
  fi
done
