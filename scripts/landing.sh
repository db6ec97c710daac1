#!/usr/bin/env bash
# Runs the proofs of a landing on the commit that is checked out, one after the other, and
# writes one table of them. It can be stopped at any time and goes on where it was: what has
# ended for the same commit is not run again. docs/MEASUREMENTS.md says how to read the table.
#
#   scripts/landing.sh [--bench PROGRAM] [--jobs N] [--last TABLE] [--list] STEP...
#
# Steps: ci, guards, soak:FIRST:COUNT, repeats:FIRST:COUNT (the soak of repeats),
# hunt:DEPLOYMENT:DAYS, sweep:DEPLOYMENT, score:DEPLOYMENT. A DEPLOYMENT is a file; these three
# need --bench. --last names the table of an earlier commit, whose figures are shown beside.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() { sed -n '2,/^set/p' "$0" | sed -n 's/^# \{0,1\}//p'; }
fail() { printf 'landing: %s\n' "$*" >&2; exit 2; }

bench="" jobs=4 last="" list=""
while [ $# -gt 0 ]; do
  case "$1" in
    --bench) bench=${2:?}; shift 2 ;;
    --jobs) jobs=${2:?}; shift 2 ;;
    --last) last=${2:?}; shift 2 ;;
    --list) list=1; shift ;;
    --help) usage; exit 0 ;;
    --*) fail "no such flag: $1" ;;
    *) break ;;
  esac
done
[ $# -gt 0 ] || fail "no step is named; see --help"
[ -z "$last" ] || [ -r "$last" ] || fail "cannot read $last"

commit=$(git rev-parse --short=8 HEAD)
# Journal entries are what some steps write.
[ -z "$(git status --porcelain -- . ':!journal')" ] || fail "the tree has changes that are not committed"
state=bin/landing/$commit
mkdir -p "$state"

# key STEP: the name of its files.
key() { printf '%s' "$1" | tr -c 'A-Za-z0-9.-' '_'; }

# label STEP: what the table calls it, without the folders of a deployment's file.
label() { printf '%s' "$1" | sed -E 's#:[^:]*/([^/:]+)\.toml#:\1#'; }

# command_of STEP: sets the array command.
command_of() {
  local kind rest
  IFS=: read -r kind rest <<<"$1"
  case "$kind" in
    hunt | sweep | score) [ -n "$bench" ] || fail "$1 needs --bench" ;;
  esac
  case "$kind" in
    ci) command=(bash .ci/run) ;;
    guards) command=(bash scripts/mutations.sh) ;;
    soak) command=(go test -count=1 -timeout=60m ./platform -v -run 'TestSoak$' -soak.seed "${rest%%:*}" -soak.seeds "${rest##*:}") ;;
    repeats) command=(go test -count=1 -timeout=60m ./platform -v -run 'TestSoakRepeats$' -soak.seed "${rest%%:*}" -soak.seeds "${rest##*:}") ;;
    hunt) command=("$bench" hunt "${rest%:*}" --days "${rest##*:}" --jobs "$jobs" --why "landing $commit") ;;
    sweep) command=("$bench" sweep "$rest" --jobs "$jobs" --why "landing $commit") ;;
    score) command=("$bench" score "$rest" --quick --jobs "$jobs" --why "landing $commit") ;;
    *) fail "no such step: $1" ;;
  esac
}

# figure KIND FILE CODE: the step's figure, from what it printed.
figure() {
  case "$1" in
    hunt) awk '{ for (i = 2; i + 2 <= NF; i++) if ($i ~ /^[0-9]+\/[0-9]+$/ && $(i + 2) ~ /^-?[0-9.]+$/) { sum += $(i + 2); n++; break } }
               END { if (n) printf "worth %.3f over %d days", sum / n, n; else print "no days" }' "$2" ;;
    soak | repeats) printf '%d of %d seeds passed' "$(grep -cE '^ +--- PASS: .*/seed[0-9]+ ' "$2")" "$(grep -cE '^ +--- (PASS|FAIL): .*/seed[0-9]+ ' "$2")" ;;
    guards) tail -n 1 "$2" ;;
    score) grep -m 1 -E 'score' "$2" || echo "no score" ;;
    *) [ "$3" = 0 ] && echo passed || echo "failed ($3)" ;;
  esac
}

# broken KIND FILE: what broke a rule or failed.
broken() {
  case "$1" in
    hunt) sed -n 's/.* \([0-9]\+\) with a rule broken.*/\1 days with a rule broken/p' "$2" | paste -sd' ' ;;
    ci | soak | repeats) grep -E '^ *--- FAIL' "$2" | sed 's/^ *--- FAIL: //; s/ (.*//' | paste -sd' ' ;;
    sweep | score) grep -iE 'rule .*broken|GATE failed' "$2" | head -n 3 | paste -sd' ' ;;
  esac
}

run_step() {
  local step=$1 kind=${1%%:*} out began code=0
  out=$state/$(key "$step")
  command_of "$step"
  began=$(date +%s)
  "${command[@]}" >"$out.out" 2>&1 || code=$?
  [ "$code" -lt 128 ] || fail "$step was stopped"
  printf '| %s | %s | %s | %s | %s |\n' "$(label "$step")" "$(figure "$kind" "$out.out" "$code" | tr '|' '/')" \
    "$(earlier "$(label "$step")")" "$(broken "$kind" "$out.out" | tr '|' '/')" "$((($(date +%s) - began + 59) / 60))" >"$out.row"
}

# earlier LABEL: the figure in the table of an earlier commit.
earlier() {
  [ -n "$last" ] || return 0
  awk -F' *[|] *' -v step="$1" '$2 == step { print $3; exit }' "$last"
}

for step in "$@"; do command_of "$step"; done # refuses a wrong one before any is run
if [ -z "$list" ]; then
  for step in "$@"; do
    [ -e "$state/$(key "$step").row" ] || run_step "$step"
  done
fi
printf 'Commit %s\n\n| step | figure | before | broken | minutes |\n| --- | --- | --- | --- | --- |\n' "$commit"
for step in "$@"; do
  cat "$state/$(key "$step").row" 2>/dev/null || printf '| %s | not run | %s | | |\n' "$(label "$step")" "$(earlier "$(label "$step")")"
done
