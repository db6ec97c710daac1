#!/usr/bin/env bash
# Drops one guard at a time from a copy of the checkout and shows which test
# notices. A guard that no test notices needs one. Each line below names the
# guard, its file, the text that it is and what takes its place, and the tests
# that should fail without it.
# Usage: scripts/mutations.sh [words of a guard's name]
set -uo pipefail
cd "$(dirname "$0")/.."
only=${1:-}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$copy"
missed=0

try() { # name, file, text, replacement, package and flags of go test
  local name=$1 file=$2 text=$3 with=$4 out test
  shift 4
  case $name in *"$only"*) ;; *) return ;; esac
  cp "$copy/$file" "$copy/.kept"
  TEXT=$text WITH=$with perl -0pi -e 's/\Q$ENV{TEXT}\E/$ENV{WITH}/' "$copy/$file"
  if cmp -s "$copy/$file" "$copy/.kept"; then
    echo "STALE   $name: $file has no such text"
    missed=1
  elif out=$(cd "$copy" && timeout 120 go test -count=1 -timeout=90s "$@" 2>&1); then
    echo "MISSED  $name"
    missed=1
  elif grep -q 'build failed' <<<"$out"; then
    echo "BROKEN  $name: without it nothing is built, so that no test was asked"
    missed=1
  elif test=$(grep -oE -- '--- FAIL: [^ ]+|^[[:space:]]+Test[^ ]+ \([0-9.ms]+\)' <<<"$out" | head -1) && [ -n "$test" ]; then
    echo "caught  $name: $test" # with a time: a test that does not end
  else
    echo "UNCLEAR $name: go test failed and named no test"
    missed=1
  fi
  mv "$copy/.kept" "$copy/$file"
}

try "lease check before an order" node/coordinator/authority.go \
  'err != nil {
		return err
	}
	if c.now()' 'err != nil && false {
		return err
	}
	if c.now()' ./node/coordinator ./platform -run 'Order|Holder'
try "an end inside an event is a break" node/gate/stream.go \
  'errors.Is(err, io.EOF) && !q.insideEvent' 'errors.Is(err, io.EOF)' ./platform -run 'EndsInsideAnEvent'
try "an event is held back until it is whole" node/gate/splitter.go \
  'out := b[:outside]' 'outside = len(b); out := b[:outside]' ./node/gate -run 'Splitter'
try "line ends of an event" node/eventstream/scanner.go \
  "case c == '\n' && s.afterCR:" "case c == '\n' && s.afterCR && false:" ./node/eventstream -run 'Scanner'
try "no resume after an event without an id" node/gate/stream.go \
  'events.opaque || events.positionUnknown' 'events.opaque' ./platform -run 'WithoutID'
try "a stream goes on with events only" node/gate/stream.go \
  'if events.opaque && q.started' 'if false && events.opaque && q.started' ./platform -run 'ResumedOnlyWithEvents'
try "a weak end is not forwarded as a length" node/gate/attempt.go \
  'case resp.Framing == conn.ByConnection:' 'case false && resp.Framing == conn.ByConnection:' ./platform -run 'ForwardedAsSuch'
try "reset of a caller that has no chunks" node/drain/reset.go \
  'if endsWithConn {' 'if false && endsWithConn {' ./platform -run 'WithoutChunks|WhereverItIsCut'
try "an answer that breaks off is reset below TLS" node/drain/conn.go \
  'if c.resetOnClose.Load() {' 'if false && c.resetOnClose.Load() {' ./node/drain -run 'Reset'
try "the end of a server resets what is not complete" node/drain/drain.go \
  'if c.resetOnClose.Load() {' 'if false && c.resetOnClose.Load() {' ./node/drain -run 'Reset'
try "reset of a caller of serve that has no chunks" node/drain/reset.go \
  'if endsWithConn {' 'if false && endsWithConn {' ./standin/local -run 'OldCaller'
try "order of the end of a complete answer of serve" node/callerapi/generate.go \
  's.finish()' '_ = s' ./standin/local -run 'OldCaller'
try "a weak end is not forwarded by serve as a length" node/dispatch/forward.go \
  'h.EndsWithConn = resp.Framing == conn.ByConnection' 'h.EndsWithConn = false' ./standin/local -run 'WithItsConnection'
try "an answer with a weak end is not stored" node/dispatch/dispatch.go \
  'err == nil && r.out.head.EndsWithConn' 'err == nil && false' ./standin/local -run 'WithItsConnection|WeakEnd'
try "a service's stream that ends inside an event is a break" node/dispatch/events.go \
  'errors.Is(err, io.EOF) && b.events.InsideEvent()' 'false' ./standin/local -run 'ServicesStream'
try "a stream of serve goes on with events only" node/dispatch/recover.go \
  'if !isEventStream(resp.Header) {' 'if false && !isEventStream(resp.Header) {' ./node/dispatch -run 'EventsOnly'
try "a weak end of what is no stream is not forwarded as chunks" node/gate/stream.go \
  'if !isEventStream(resp.Header) {' 'if false && !isEventStream(resp.Header) {' ./platform -run 'FramedNoStronger'
try "encoded bytes show no events" node/eventstream/encoding.go \
  'coding != "" && coding' 'false && coding' ./node/dispatch ./platform -run 'OnlyTheEndInside|AnEncodedStream'
try "an objective counts from the caller's first attempt" node/gate/age.go \
  'q.route.Objective - q.age' 'q.route.Objective' ./node/gate -run 'FirstAttempt'
try "local copies only to those that may coordinate next" node/coordinator/relay/relay.go \
  'return out.Hosts >= compactFrom' 'return false && out.Hosts >= compactFrom' ./node/coordinator/relay -run 'LocalCopies'
try "records that arrive during a write wait" node/coordinator/streams/streams.go \
  'if len(records) < rowRecords {' 'if len(records) < 0 {' ./node/coordinator/streams -timeout 20s -run 'ArriveDuring'
try "a report shares no list with the guard" node/quarantine/guard.go \
  'slices.Clone(g.events[from:min(from+maxEventsPerReport, len(g.events))])' 'g.events[from:min(from+maxEventsPerReport, len(g.events))]' ./node/quarantine -run 'AReportKeeps'
try "crashes of before an answer are not told to a successor" node/quarantine/guard.go \
  'if x == nil ||' 'if true || x == nil ||' ./node/quarantine -run 'ASuccessor'
try "a bar of before its end is not adopted" core/poison/ledger.go \
  'return e.releasedAt.After(began)' 'return false && e.releasedAt.After(began)' ./core/poison -run 'BeforeItsEnd'
try "a sole candidate waits for the reports of other hosts" core/poison/judge.go \
  '< l.policy.SoleSettleTime' '< 0' ./core/poison -run 'SoleCandidate'
try "quiet period of a new holder" node/coordinator/handover.go \
  'c.quietUntil, c.lastOrderAt, c.ordersComplete = now.Add(c.cfg.QuietPeriod), now' 'c.quietUntil, c.lastOrderAt, c.ordersComplete = now, now' ./node/coordinator
try "order within the former holder's quiet time at one upstream" node/coordinator/handover.go \
  'return ok && !o.own' 'return false && ok && !o.own' ./node/coordinator ./platform -run 'Holder|Orders'
try "bound of loads from the weight store" node/coordinator/moves/plan.go \
  'min(p.deps.StoreLoads.Remaining(s.Engine.LoadsPerSecond, now), p.freeStoreSlots(s.Engine, upstreams, now))' \
  'p.deps.StoreLoads.Remaining(s.Engine.LoadsPerSecond, now)' ./node/coordinator/moves ./platform -run 'Loads|EnginesReplaced'
try "loads by what they serve" core/replica/replica.go \
  'b.gain()*p.urgencyFactor(b); x != y {' 'b.gain()*p.urgencyFactor(b); false && x != y {' ./core/replica
try "bound of what is prepared for" core/replica/prior.go \
  'sum > limit' 'false && sum > limit' ./core/replica
try "wait for a model on its way" node/gate/pick.go \
  'if !loading || q.started' 'if true || !loading || q.started' ./node/gate -run 'ThatIsLoading|TooLate'
try "bound of prompts at an upstream for all requests" node/gate/pick.go \
  'return balance.PendingPromptLimit(q.route.PauseBound, q.service.Engine.EventTokens)' \
  'return 0' ./node/gate -run 'OthersLate'
try "requests that an upstream lost go first" node/gate/pick.go \
  'if lostByUpstream && now.Sub' 'if false && now.Sub' ./node/gate -run 'PrecedesNewOnes'
try "holdings told once" node/coordinator/moves/upstreams.go \
  'if !u.updatePublished() && u.revision.Load() > 0 {' 'if false {' ./node/coordinator/moves -run 'OnlyNewHoldings'
try "packed configuration" node/coordinator/relay/relay.go \
  'if r.Packed {' 'if false {' ./node/coordinator/relay -run 'Packed'
try "reports that are too old leave the sums" node/coordinator/reports/aggregate.go \
  'if !h.fresh(now) {
			a.subtractLocked(h)' 'if false {
			a.subtractLocked(h)' ./node/coordinator/reports -run 'Sums'
try "number of orders in an order" platform/upstream.go \
  'Expected: o.Expected' 'Expected: 0' ./platform -run 'Adapter|Order'
try "room for adapters beside models" core/residency/residency.go \
  'rec.engine.MemoryMB - rec.usedMB() - rec.adapterReserveMB()' 'rec.engine.MemoryMB - rec.usedMB()' ./core/residency
try "report after a refusal" core/residency/residency.go \
  'rec.needsReport, rec.sequence = true, 0' 'rec.sequence = 0' ./core/residency
try "end of a former holder's load" core/residency/reconcile.go \
  'rec.formerHolderOrder = r.Busy && rec.currentOrder == nil' 'rec.formerHolderOrder = false' ./core/residency
try "loads counted when they begin" node/coordinator/moves/storeloads.go \
  's.remove(at)
	if' 'if' ./node/coordinator/moves
try "answer to another attempt" node/upstream/conn/attribution.go \
  'if l.isProven(owner) {' 'if true {' ./platform -run 'Answers|ALateAnswer'
for status in 200 400 408 421 429 500 503; do
  try "answer to another attempt, status $status" node/upstream/conn/attribution.go \
    'if l.isProven(owner) {' "if l.isProven(owner) || resp.StatusCode == $status {" ./node/upstream/conn -run 'WhateverComes'
done
for status in 503 429 421; do
  try "refusal to another attempt, status $status" node/upstream/conn/attribution.go \
    'if l.isProven(owner) {' "if l.isProven(owner) || resp.StatusCode == $status {" ./platform -run 'ALateAnswer'
done
try "answer to another attempt, a whole one" node/upstream/conn/attribution.go \
  'if l.isProven(owner) {' 'if l.isProven(owner) || resp.StatusCode < 300 {' ./node/gate -run 'NothingIsTaken'
try "answer to another attempt, a failure" node/upstream/conn/attribution.go \
  'if l.isProven(owner) {' 'if l.isProven(owner) || resp.StatusCode == 500 {' ./node/gate -run 'NothingIsTaken'
try "answer without an id on a used connection" node/upstream/conn/attribution.go \
  '&& l.exchanges == 1 && !l.foreign' '&& !l.foreign' ./node/upstream/conn ./platform -run 'WhateverComes|ALateAnswer'
try "answer without an id behind another's" node/upstream/conn/attribution.go \
  '&& l.exchanges == 1 && !l.foreign' '&& l.exchanges == 1' ./node/upstream/conn -run 'WhateverComes'
try "no connection is kept after another's answer" node/upstream/conn/client.go \
  'close: resp.Close || l.foreign' 'close: resp.Close' ./node/upstream/conn -run 'WhateverComes'
try "a connection of its own for a request that the address had" node/upstream/conn/client.go \
  '!again && !r.NewConnection' '!r.NewConnection || again' ./node/upstream/conn ./node/gate -run 'WhateverComes|AConnectionCarries'
try "a connection is used as long as its sends are remembered" node/upstream/conn/pool.go \
  'p.sent.remembersSince(l.dialled) && ' '' ./node/upstream/conn -run 'HoweverLongAgo'
try "sends of a minute ago are remembered" node/upstream/conn/sent.go \
  'return inRecent || inFormer' 'return inRecent || inFormer && false' ./node/upstream/conn -run 'HoweverLongAgo'
try "requests name themselves to the client" node/gate/attempt.go \
  '&conn.Request{ID: q.info.AttemptID, Address' '&conn.Request{Address' ./node/gate -run 'WhateverComesBeside|AConnectionCarries'
try "an upstream that answers is not another process" node/fleet/entry.go \
  'if now.Sub(e.answeredAt) < answeringTime {' 'if false {' ./platform -run 'ALateAnswerToAnother'
try "only another process replaces an upstream" platform/upstream.go \
  'if process == "" || process == u.ID {' 'if false {' ./platform -run 'ReplacedOnlyByAnother'
try "a host's word is for the request that it names" node/gate/detour.go \
  'Owner: q.hopOwner,' '' ./node/gate -run 'AHostsWordOn'
try "a process that refuses another's requests is left alone" node/gate/refused.go \
  'e.ExcludeMisdirected()' '' ./platform -run 'HaveComeBackServe'
try "not run is no word of a success" platform/headers.go \
  '!= "" && status >= http.StatusBadRequest' '!= ""' ./platform -run 'OnlyAFailure'
try "a head of two answers" node/upstream/conn/conn.go \
  '&& isSpliced(resp) {' '&& false && isSpliced(resp) {' ./node/upstream/conn -run 'TwoAnswers'
try "a status line in a header of a new connection's answer" node/upstream/conn/conn.go \
  'if l.mayHoldAnotherAnswer(r) && isSpliced' 'if isSpliced' ./node/upstream/conn -run 'InAHeader'
try "attempts on open connections that work" node/reach/monitor.go \
  'if !openWork {' 'if true {' ./node/reach -run 'AttemptsOnOpen'
try "the answer to an order is not a report" platform/upstream.go \
  'isOfRequest(h) || isJSON(h)' 'isOfRequest(h)' ./platform -run 'AnOrdersVerdict'
try "a report is not the answer to an order" platform/upstream.go \
  '|| !isJSON(h) && h.Get("Content-Length") == "0"' '' ./platform -run 'AReportIs'
try "a report is not the answer to a request" platform/upstream.go \
  'return h.Get(headerAttempt) != "" || h.Get(headerSeal) != ""' 'return false' ./platform -run 'AReportIs|AnOrdersVerdict'
try "a head of two answers, in its reason" node/upstream/conn/attribution.go \
  'if hasStatusLine(resp.Status) {' 'if false && hasStatusLine(resp.Status) {' ./node/upstream/conn -run 'TwoAnswers'
try "nothing is read behind another's answer to HEAD" node/upstream/conn/attribution.go \
  'resp.Close || l.sentHead ||' 'resp.Close ||' ./node/upstream/conn -run 'AnswerToHEAD'
try "nothing is read behind an answer that says so" node/upstream/conn/attribution.go \
  'if resp.Close || l.sentHead' 'if l.sentHead' ./node/upstream/conn -run 'NothingIsReadBehind'
try "number of others' answers" node/upstream/conn/attribution.go \
  'if n == maxForeignAnswers {' 'if false {' ./node/upstream/conn -run 'WhateverComes'
try "bytes of another's answer" node/upstream/conn/attribution.go \
  'if n > maxForeignBytes {' 'if n < 0 {' ./node/upstream/conn -run 'WhateverComes'
try "time for another's answer" node/upstream/conn/attribution.go \
  'time.Now().Add(foreignBodyTimeout)' 'time.Time{}' ./node/upstream/conn -run 'NotAwaitedForLong'
try "time behind an answer without an id" node/upstream/conn/attribution.go \
  'next = time.Now().Add(unnamedWait)' '_ = unnamedWait' ./node/upstream/conn -run 'NotAwaitedForLong'
try "the own answer's time behind another's" node/upstream/conn/attribution.go \
  'return l.nc.SetReadDeadline(next)' '_ = next
	return nil' ./node/upstream/conn -run 'TakeItsTime'
try "the own answer's time behind one without an id" node/upstream/conn/attribution.go \
  'return resp, l.nc.SetReadDeadline(time.Time{})' 'return resp, nil' ./node/upstream/conn -run 'TakeItsTime'
try "upstream's seal" node/gate/attempt.go \
  'case info.AttemptID == "", resp.Status < 300 && !info.Sealed:' 'case false:' ./platform -run 'Answers'
try "an answer that names no request" node/gate/attempt.go \
  'case info.AttemptID == "", resp' 'case resp' ./node/gate -run 'NamesNoRequest'
try "no reuse of a connection that spoke" node/upstream/conn/pool.go \
  '&& isClean(l.nc)' '' ./node/upstream/conn
try "a request before the close that was asked for" node/drain/conn.go \
  'if !c.phase.CompareAndSwap(phaseCloseRequested, phaseBusy) {' 'if true {' ./node/drain
try "end of a read that waits" node/drain/conn.go \
  '_ = c.Conn.SetReadDeadline(past)' '_ = past' ./node/drain
try "bytes that wait at a close" node/drain/conn.go \
  '&& c.hasPending() && c.cancelClose()' '&& false' ./node/drain
try "the server's bounds after a close was asked for" node/drain/conn.go \
  'if p := c.phase.Load(); p == phaseCloseRequested || p == phaseClosing {' 'if false {' ./node/drain
try "time again after a close that was asked for" node/drain/conn.go \
  '_ = c.Conn.SetReadDeadline(deadline)' '_ = deadline' ./node/drain
try "bound of a head's first bytes" node/drain/conn.go \
  '	if firstBytes {
' '	if false && firstBytes {
' ./node/drain
try "requests sent ahead" node/drain/conn.go \
  '&& size < c.bufferSize' '&& false' ./node/drain
try "a head that was read while a close was asked for" node/drain/drain.go \
  'c.tryBegin() // a head' '// a head' ./node/drain -race -run 'AHeadThatWasRead|AStallIs'
try "a head in the server's buffer" node/drain/conn.go \
  'c.awaitsNext, c.waitBounded = !c.waitBounded, true' 'c.waitBounded = true' ./node/drain
try "bound of what a handler left" node/drain/conn.go \
  '_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))' '' ./node/drain
try "no bound on a body that is whole" node/drain/conn.go \
  'if body.complete {
		return' 'if false {
		return' ./node/drain
try "an answer before the rest of its body" node/drain/conn.go \
  '_ = rc.Flush()' '' ./node/drain
try "what comes after an answer" node/drain/conn.go \
  'c.linger()' '' ./node/drain
try "last look" node/drain/drain.go \
  's.stopped = left == 0' 's.stopped = false' ./node/drain
try "drain: no end of an answer that broke off" node/drain/conn.go \
  '!returned || ' '' ./node/drain
try "drain: last chunk before the rest of a body" node/drain/conn.go \
  ' || w.Header().Get("Content-Length") == ""' '' ./node/drain
try "drain: half closed after the last answer" node/drain/conn.go \
  '_ = half.CloseWrite()' '_ = half' ./node/drain
try "drain: nothing awaited of a connection that rests" node/drain/conn.go \
  'c.mayHaveUnread.Load() && c.phase.Load() == phaseBusy && c' 'c.mayHaveUnread.Load() && c' ./node/drain
try "drain: answers of the server on kept connections" node/drain/drain.go \
  '			c.mayHaveUnread.Store(true)
' '' ./node/drain
try "drain: new connections are asked" node/drain/drain.go \
  'left = s.requestClose(func(*conn) bool { return true })' 'left = 0' ./node/drain
try "drain: new connections are asked last" node/drain/drain.go \
  'left := s.requestClose((*conn).keptAlive)' 'left := s.requestClose(func(*conn) bool { return true })' ./node/drain
try "drain: what is asked counts" node/drain/drain.go \
  'p == phaseBusy || p == phaseCloseRequested' 'p == phaseBusy' ./node/drain
try "drain: only kept connections are idle" node/drain/conn.go \
  '	if !c.keptAlive() {
		return 0' '	if false {
		return 0' ./node/drain
try "drain: the end of what is awaited when secured" node/drain/drain.go \
  '		_ = c.Conn.Close() // one' '		_ = c // one' ./node/drain
try "drain: the body that the server made" node/drain/drain.go \
  'tracked := r.WithContext(r.Context())' 'tracked := r' ./node/drain
try "drain: a look at the socket below the account" node/host/callers.go \
  'if sc, ok := c.Conn.(syscall.Conn); ok {' 'if sc, ok := c.Conn.(syscall.Conn); ok && false {' ./node/host
try "drain: half closing of the socket below the account" node/host/callers.go \
  'if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {' 'if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && false {' ./node/host
try "bound of an answer that is left to write" node/drain/conn.go \
  '_ = rc.SetWriteDeadline(time.Now().Add(answerWriteTimeout))' '' ./node/drain
try "at most the route's attempts" node/gate/run.go \
  'q.possibleRuns < max(q.route.Attempts, 1) && (q.mayRetry(res) || q.retryStarted(res))' '(q.mayRetry(res) || q.retryStarted(res) || true)' ./node/gate
try "nothing after the beginning of an answer" node/gate/run.go \
  'if q.unresumable {' 'if false {' ./platform -run 'WithoutID'
try "an attempt whose answer has begun" node/gate/attempt.go \
  'if !fo.stay() {' 'if false {' ./node/gate -run 'LargeResponse'
try "last lines of the log" node/event/sink.go \
  'len(buf) > 0 && time.Now().Before(deadline); buf = s.gather(buf[:0])' 'len(buf) > 0 && time.Now().Before(deadline); buf = nil' ./node/event
try "kinds that may run again" node/gate/run.go \
  'case !res.notRun && !q.mayRunAgain():' 'case false:' ./node/gate
try "entries that ran out with the store" node/fleet/fleet.go \
  'grace := max(graceLeft, 0)' 'grace := 0*graceLeft' ./node/fleet
try "upstreams that come back in one change" node/fleet/change.go \
  '&& !isListed(byID[v.id])' '&& (true || !isListed(byID[v.id]))' ./node/fleet
try "a version only rises" node/follow/config.go \
  'old.Config.Version >= next.Version' 'false' ./platform -run 'TestAnOlderOrUnusableConfiguration' ./node/follow
try "first try after the store's return" node/follow/follow.go \
  'deferredRetryPause = time.Second' 'deferredRetryPause = 4 * time.Second' ./node/follow
try "questions of a request that waits" node/gate/pick.go \
  'return q.awaitModel(p)' '' ./node/gate
try "answers at the end of a stop" node/host/stop.go \
  '	h.abortRequests()
' '' ./platform -run 'AStop'
try "caller gone" node/gate/gate.go \
  'WithDeadlineCause(r.Context()' 'WithDeadlineCause(context.WithoutCancel(r.Context())' ./platform -run 'AttemptEndsWithItsCaller'
try "time to stand by while the store is away" node/coordinator/link/elector.go \
  'answered = time.Now()
		}' '_ = answered
		}' ./node/coordinator/link -run 'StandsBy'
try "a key before the body" node/gate/gate.go \
  'if !q.identify() {' 'if q.identify(); false {' ./platform -run 'OneKnownKey' ./node/gate
try "the key is not passed on" platform/headers.go \
  '"Kv-Fetch", headerAPIKey, headerTeam}' '"Kv-Fetch"}' ./platform -run 'NeverTheKey'
try "a key that was taken away" node/gate/run.go \
  'if q.keyRevoked() {' 'if false {' ./platform -run 'KeyWasRevoked'
try "one key in two teams" core/deploy/team.go \
  'if other, ok := owners[k]; ok && other != team {' 'if other := 0; false {' ./core/deploy
try "a limit is charged with the turn" node/coordinator/permits/permits.go \
  'if p.chargeTeam(k, e, now) {' 'if true {' ./node/coordinator/permits -run 'Limit'
try "a limit of a call without a turn" node/gate/limits.go \
  'if !q.caller.owesCharge() {' 'if true {' ./node/gate ./platform -run 'Limit|Pays'
try "what has not run is given back" node/gate/gate.go \
  '	defer q.refundCharge()
' '' ./node/gate
try "hosts that hear nobody pass a part" core/quota/share.go \
  'draw >= s.ranks.proportion(rank, admitted, now)' 'draw < 0*s.ranks.proportion(rank, admitted, now)' ./core/quota
try "hosts without a word pass little" core/quota/share.go \
  'initialShare = 0.02' 'initialShare = 1.0' ./core/quota
try "the part of hosts that are not heard is withheld" core/quota/ledger.go \
  'limit.PerSecond *= l.connectedShare' '' ./core/quota ./node/coordinator -run 'NotHeard|Limit'
try "a new count goes on from the former's" node/coordinator/accounts/accounts.go \
  'a.ledger.SetTeams(teams, a.deps.LastState, now)' 'a.ledger.SetTeams(teams, nil, now)' ./node/coordinator ./node/coordinator/link
try "a process that begins to count hears how accounts stood" node/coordinator/serve.go \
  'c.accounts.AdoptStates(r.TeamWords, now)' '' ./node/coordinator -run 'ReceivesAccountStates'
try "a holder that is back at once hears how accounts stood" node/coordinator/link/link.go \
  'return l.failedReports > 0 || l.countIsNew' 'return false' ./node/coordinator/link -run 'QuicklyRestartedHolder'
try "a crash blames all that ran there" core/poison/ledger.go \
  'len(c.ran) >= maxSuspectsPerCrash' 'len(c.ran) >= 1' ./core/poison
try "what a known one explains speaks half" core/poison/judge.go \
  'explained(c, e) && len(e.crashes) < l.policy.MinCrashes' 'false' ./core/poison
try "the loss of a rack names nobody" core/poison/judge.go \
  'return all >= l.policy.MinMassCrashes && 2*ran < all' 'return false' ./core/poison
try "a broken way is no crash" node/quarantine/detector.go \
  '	if terminated {
		d.deps.Metrics' '	if true {
		d.deps.Metrics' ./node/quarantine
try "hosts are told what is barred" node/coordinator/quarantine/ledger.go \
  'for i := range changed {' 'for i := range changed[:0] {' ./platform -run 'KnownToAllHosts'
try "a suspicion does not end a former coordinator's bar" node/quarantine/view.go \
  'if b := v.former[f.Digest]; now.Before(b.until) {' 'if b := v.former[f.Digest]; false {' ./node/quarantine -run 'TermInWhich'
try "a successor hears the bars of its predecessors" node/quarantine/guard.go \
  ', g.formerLocked(now)}' '}' ./node/quarantine -run 'TermInWhich'
try "a successor hears what is known" node/quarantine/guard.go \
  'from, next.Barred = 0, g.barredLocked(now)' 'from = len(g.events)' ./node/quarantine
try "bars are kept for a loss of all hosts" node/coordinator/quarantine/rows.go \
  'return q.mustReadLocked(era) || len(q.barChangesLocked(now)) > 0 || q.crashesDueLocked(now)' 'return false' ./platform -run 'BarOutlivesAll'
try "crashes are kept for a loss of all hosts" node/coordinator/quarantine/crashes.go \
  'return q.rows.read && (r.revision' 'return false && (r.revision' ./platform ./node/coordinator/quarantine -run 'CrashesByAPart|CrashesOutlive'
try "an old row of crashes is not read" node/coordinator/quarantine/crashes.go \
  'if age <= crashesMaxAge {' 'if true {' ./node/coordinator/quarantine -run 'AnOldRow'
try "a row of crashes stays young" node/coordinator/quarantine/crashes.go \
  '|| r.value != nil && since >= crashesRefresh' '' ./node/coordinator/quarantine -run 'KeptYoung'
try "an unreadable row of crashes is left" node/coordinator/quarantine/crashes.go \
  '(!r.exists || r.unreadable)' '!r.exists' ./node/coordinator/quarantine -run 'UnreadableRow'
try "suspects that lost crashes leave no other one alone" core/poison/adopted.go \
  'return left(e) >= minCommonCrashes && left(e) <= tooFew' 'return false' ./core/poison -run 'BesideOneThatWasCut'
try "crashes that were kept are read" node/coordinator/quarantine/crashes.go \
  'q.ledger.AdoptCrashes(all, now)' '' ./node/coordinator/quarantine -run 'CrashesOutlive'
try "what is answered is kept no longer" node/coordinator/quarantine/rows.go \
  ' || q.crashesDueLocked(now)' '' ./node/coordinator/quarantine -run 'AnsweredSuspects'
try "an adopted part may be answered first" core/poison/parts.go \
  'return !adopted || now.Sub(at) >= settleTime' 'return true || !adopted || now.Sub(at) >= settleTime' ./core/poison -run 'SuccessorThatAdopts|AdoptedPart'
try "adopted crashes delay no bar" core/poison/parts.go \
  'l.isSettled(e, times, now) {' 'l.isSettled(e, times, now) && e.isAdoptedFor(l.settleTime(e), now) {' ./core/poison -run 'NobodyReports'
try "an adopted request waits for reports" core/poison/judge.go \
  'return e.isAdoptedFor(l.policy.SoleSettleTime, now)' 'return true' ./core/poison -run 'AdoptedRequest'
try "what hosts report again is not waited for" core/poison/adopted.go \
  'delete(e.adopted, upstream)' '' ./core/poison -run 'ReportAgain'
try "suspects that nothing tells apart are left out together" core/poison/adopted.go \
  'len(e.crashes) <= tooFew' 'len(e.crashes) < tooFew' ./core/poison -run 'TellsApart'
try "a suspect that was cleared is not adopted again" core/poison/adopted.go \
  ' || l.isReleasedSince(f.Digest, x.At)' '' ./core/poison -run 'IsNotAdopted'
try "a run that lasted is not blamed" node/gate/poison.go \
  'return !q.responseSince.IsZero() &&' 'return false && !q.responseSince.IsZero() &&' ./node/gate -run 'NotBlamed'
try "what is barred is looked at before each send" node/gate/run.go \
  'if q.refuseBarred(p) {' 'if false {' ./node/gate -run 'SentAgain'
try "a run to its end clears" node/gate/poison.go \
  'q.g.deps.PoisonGuard.RecordCompleted(q.content, quarantine' '_, _ = q.content, (quarantine' ./node/gate -run 'CompletedRequestIsRecorded'
try "a failed answer clears nothing" node/gate/attempt.go \
  'return status < 300 && (' 'return true && (' ./node/gate -run 'FailedAnswer'
try "comments are no run" node/gate/stream.go \
  'q.recordPiece(events.hasBegun())' 'q.recordPiece(true)' ./node/gate -run 'CommentsAreNoRun'
try "a stream without data clears nothing" node/gate/attempt.go \
  '!q.responseSince.IsZero())' 'true)' ./node/gate -run 'StreamWithoutData'
try "parts are reported" node/quarantine/detector.go \
  '!f.IsPart() || !slices' '!f.IsPart() || false && !slices' ./platform -run 'APartOfPrompts'
try "the last part of a prompt is its own" node/gate/poison.go \
  'max(len(*p)-1, 0)' 'len(*p)' ./node/gate -run 'SharedParts'
try "an answer clears a part" node/quarantine/guard.go \
  'c.Began.After(v.partsSince[f.Digest])' 'false' ./node/quarantine -run 'BeganEarlier'
try "an answer that began earlier clears no part" node/quarantine/guard.go \
  '(!f.IsPart() || c.Began.After(v.partsSince[f.Digest]))' 'true' ./node/quarantine -run 'BeganEarlier'
try "a crash before the last answer does not count" core/poison/ledger.go \
  'e.IsPart() && !at.After(e.answeredAt)' 'false' ./core/poison -run 'AnsweredSince'
try "a part settles before it is barred" core/poison/parts.go \
  'return now.Sub(times[from-1]) >= settleTime &&' 'return settleTime > 0 &&' ./core/poison -run 'PartsThatCrash'
try "the later of two parts is barred" core/poison/parts.go \
  'n == most && e.isNarrower(strongest)' 'n == most && !e.isNarrower(strongest)' ./core/poison -run 'TheLaterOne'
try "what is not answered while nothing is says little" core/poison/parts.go \
  'case l.othersAnswered(e, times):' 'case true:' ./core/poison -run 'NothingIsAnswered'
try "a host alone judges in time" node/quarantine/guard.go \
  'if g.view.Load() == nil {
			continue' 'if true {
			continue' ./node/quarantine -run 'BarsAPartInTime'
try "a stream goes on at its version" core/balance/balance.go \
  'return began == "" || software == began' 'return true' ./platform -run 'GoesOnAtItsSoftwareVersion'
try "Resumes is read" platform/headers.go \
  'info.Resumes, info.ResumesInvalid = parseResumes(h)' '' ./platform -run 'TakesAStreamUp|CannotBeKnown'
try "what is not known is refused" node/gate/software.go \
  '	q.refuse(whyStreamUnknown, unknownRetry)
	return false' '	return true' ./platform -run 'CannotBeKnown'
try "the version goes over a hop" node/gate/hop.go \
  'h.Set(hopBegan, began)
	}
}

// markHop' 'h.Set("X-None", began)
	}
}

// markHop' ./node/gate -run 'VersionOverAHop'
try "an answer of another version is dropped" node/gate/detour.go \
  '!balance.MayGoOn(x.software, q.began.get())' 'false && !balance.MayGoOn(x.software, q.began.get())' ./node/gate -run 'VersionOverAHop'
try "other hosts keep the origin of a stream" node/coordinator/link/origins.go \
  'l.origins.outbox.Add(rec, now)' '_ = now' ./platform -run 'HostIsGone|TakesAStreamUp'
try "each host of a small deployment keeps a record" node/coordinator/link/origins.go \
  'originKeepers = reports.MaxDeputies + 1' 'originKeepers = 3 + 0*reports.MaxDeputies' ./node/coordinator/link -run 'EachOfSix'
try "a record is sent before others are awaited" node/coordinator/link/origins.go \
  'l.sendOrigins(ctx)
		if !pace.Sleep(ctx, originDelay) {
			break
		}' 'if !pace.Sleep(ctx, originDelay) {
			break
		}
		l.sendOrigins(ctx)' ./node/coordinator/link -run 'SentBefore'
try "a keeper that restarted gets all again" node/coordinator/link/origins.go \
  'k.id != 0 && k.id != a.Id' 'false' ./node/coordinator/link -run 'RestartedKeeper'
try "streams outlive all hosts" node/host/host.go \
  'LoadOrigins: h.streams.Load, ' '' ./platform -run 'AllHostsAreGone'
try "who begins to act writes what it knows" node/coordinator/streams/streams.go \
  'k.next = next' 'k.next = next; _ = records; k.next += 1000' ./node/coordinator/streams
try "two versions of one content are not known" node/origin/registry.go \
  'if before.version != e.version {' 'if false {' ./node/origin
try "a flooded host closes connections unread" node/shed/shed.go \
  'c.share = min(c.share+increase*(1-c.share), maxShare)' '' ./node/shed
try "one pause closes nothing" node/shed/shed.go \
  'case queued && c.queued:' 'case queued:' ./node/shed
try "a window without connections ends no spell" node/shed/shed.go \
  'if c.offered == 0 {' 'if false {' ./node/shed
try "a wait counts for the connections that it waited behind" node/shed/shed.go \
  'c.recordLocked(wait)
	c.advanceLocked(now)' 'c.advanceLocked(now)
	c.recordLocked(wait)' ./node/shed
try "few connections behind a burst end no spell" node/shed/shed.go \
  'if c.carried && c.offered' 'if false && c.offered' ./node/shed
try "a host with few connections that wait closes none" node/shed/shed.go \
  'c.carried = c.probing && (c.offered >= minOffered || c.carried && c.probedAt.Before(c.from))' 'c.carried = true' ./node/shed
try "an idle host's spell is over" node/shed/shed.go \
  'if idle > max(window, min(gapOfWait*c.shortest, maxGap)) {' 'if false {' ./node/shed
try "a long wait counts as several windows" node/shed/shed.go \
  'min(max(int(waited/window), 1), maxIncreases)' '1' ./node/shed
try "a few connections now and then are none too many" node/shed/shed.go \
  'return minOffered * max(c.gap.Seconds()/window.Seconds(), 1)' 'return minOffered' ./node/shed -run 'NowAndThen'
try "the wait of a probe is no idle time" node/shed/shed.go \
  'c.seenAt = now // the wait itself is no idle time' '' ./node/shed
try "a pick heeds what an upstream takes" node/fleet/entry.go \
  'out.Backoff = e.backoffLocked(now)' '' ./node/fleet ./platform -run 'ItsShare|LimitOfAnUpstream|InTheRest'
try "a turn heeds what an upstream takes" node/coordinator/permits/permits.go \
  'out.Backoff = max(p.limits.wait(e, now), p.backoffs.wait(e.ID()), w.hostBackoffs[e.ID()].Sub(now))' 'out.Backoff = 0' ./platform -run 'UpstreamWithALimit|SoonestTime'
try "calls of a service with a limited upstream go by turns" node/gate/pick.go \
  'if q.g.deps.Fleet.HasLimit(q.service.Name) {' 'if false {' ./platform -run 'UpstreamWithALimit'
try "hosts alone have a turn each" node/coordinator/signals.go \
  'out.Place = uint32(c.aggregate.HostIndex(r.Host))' '' ./node/coordinator -run 'PlaceOfItsOwn'
try "turns that nobody took do not pile up" core/backpressure/pacer.go \
  'return max(p.lastTaken+1/perSecond, at-unusedPermitTTL.Seconds()-maxUnusedPermits/perSecond)' 'return p.lastTaken+1/perSecond' ./core/backpressure
try "a turn lies a period after the last" core/backpressure/pacer.go \
  'after := max(p.lastTaken+period-roundingTolerance,' 'after := max(p.lastTaken+roundingTolerance,' ./core/backpressure
try "what is told on" node/coordinator/signals.go \
  'out.SignalsId, out.SignalsRevision, out.Signals = c.id, revision, wire.EncodeSignals(all, now)' \
  '_ = wire.EncodeSignals(all, now); out.SignalsId, out.SignalsRevision = c.id, revision' ./platform -run 'OtherHosts'
try "of answers that cross the stricter holds" core/backpressure/signal.go \
  'if b.Limit.stricter(a.Limit) {' 'if b.Limit != a.Limit {' ./core/backpressure
try "an older entry of the list does not win" node/fleet/relist.go \
  'e.draining = e.signal.Draining // a drain' 'e.draining = false // a drain' ./node/fleet
try "a rest is kept" node/gate/signals.go \
  'e.StartBackoff(info.Said.Backoff)' '' ./platform -run 'InTheRest'
try "a grant that is not counted is not used" node/gate/permit.go \
  'e.Limit().Stated && !permit.WithinLimit' 'false' ./node/gate -run 'NotCounted'
try "what nothing takes in time is refused at once" node/gate/pick.go \
  'p.Reason == balance.AllBackoff && !q.started && (p.unservable ||' 'false && (p.unservable ||' ./platform -run 'SoonestTime'
try "somebody acts while nobody can take the lease" node/coordinator/link/elector.go \
  'case !own.Acting() && e.Link.isFirstDeputy(ctx):' 'case false:' ./platform -run 'NobodyCanTake'
try "the era is part of a version" node/store/era.go \
  'return era<<numberBits | number' 'return number' ./platform -run 'IsApplied|TwoEras|EarlierEra'
try "a feed after a version of another era is read whole" platform/feed.go \
  '	if store.EraOf(after) != s.Eras.Newest() {
		return rows{}, store.ErrHistoryLost
	}
	return got, err' '	return got, err' ./platform -run 'AnsweredInAnotherEra'
try "a condition of another era is not sent" node/store/era.go \
  'if c.Version != Absent && EraOf(c.Version) != era {' 'if c.Version != Absent && EraOf(c.Version) != era && false {' ./platform ./standin/platform -run 'EarlierEra|RestoredTable'
try "changes do not follow a list that was read since" node/follow/relay.go \
  '!relay.Complete && relay.Base != known' 'false' ./node/follow -run 'AfterAnotherList'
try "a host that has read beyond a gap gets the whole list" node/fleet/change.go \
  'if version > g.after {' 'if false {' ./node/coordinator/link -run 'HostsHaveOneList'
try "a restore counts as the store's return" node/fleet/fleet.go \
  '	f.StoreRecovered()
	f.staleEntries' '	f.staleEntries' ./platform -run 'RestoredStoreLacks'
try "draining is for the life of the process" node/fleet/entry.go \
  'u.State, u.Remaining = deploy.Draining, e.desc.Remaining' '' ./platform -run 'LeftUpstream'
try "an entry of a copy is no return" node/fleet/entry.go \
  'e.delisted && e.draining && u.State == deploy.Ready &&' 'false &&' ./platform -run 'LeftUpstream'
try "a drain that the list lost is told to all" node/fleet/entry.go \
  'e.keepDrainingLocked(now)' '' ./node/fleet -run 'RestoredListLacks'
try "a host that starts after a restore asks others" node/host/host.go \
  '!h.draining.Load() && !h.mayLackChanges()' '!h.draining.Load()' ./platform -run 'StartsAfterARestore'
try "a forgotten holder is waited for" core/lease/lease.go \
  'return EraOfEpoch(o.Record.Epoch) < o.Era' 'return false' ./core/lease ./node/lease
try "an epoch is above those of earlier eras" core/lease/lease.go \
  'return max(last, era<<epochNumberBits) + 1' 'return last + 1' ./node/lease -run 'Restored|Forgotten'
try "a holder acquires the lease again in a new era" core/lease/lease.go \
  'if EraOfEpoch(h.Record.Epoch) < era {' 'if false {' ./node/lease -run 'RestoredStoreHasForgotten'
try "a row without a claim frees no key" node/claim/records.go \
  'row.ID == ""' 'false' ./node/claim -run 'WithoutAClaim'
try "each era has lease rows of its own" node/lease/lease.go \
  'if era == 0 {' 'if true {' ./node/lease -run 'LateGrant'
try "hosts keep their coordinator after a restore" node/coordinator/link/answers.go \
  'feed.StoreRestoredWithin(restoredLeaseWait)' 'false' ./platform -run 'HigherEpoch'
try "bars are written again after a restore" node/coordinator/quarantine/rows.go \
  'return !q.rows.read || q.rows.era != era' 'return !q.rows.read' ./node/coordinator/quarantine -run 'BarsAreWritten'
try "orders are held while some may be forgotten" node/planner/planner.go \
  'if now.Before(p.ledger.heldUntil) {' 'if false {' ./node/planner -run 'MayBeForgotten'
try "a version that the table has lost is written again" node/query/config.go \
  'r.reportLost(ctx, s.Head)' '' ./node/query -run 'HasLost'
try "silence of several upstreams raises a suspicion" core/reach/reach.go \
  'd.addSilent(failing, e, now)' '' ./core/reach ./node/reach -run 'Suspicion|Noticed'
try "one failing upstream is no suspicion" core/reach/reach.go \
  'MinFailing: 2,' 'MinFailing: 1,' ./core/reach ./node/reach
try "refused connections count while others deliver bytes" core/reach/reach.go \
  'case len(unconnected) >= min(d.policy.MinUnconnected, e.Upstreams):' 'case false:' ./core/reach ./node/reach
try "one accepted trial refutes a suspicion" core/reach/reach.go \
  'if t.Accepted {
			d.refute(now)' 'if t.Accepted && t.Upstream == "" {
			d.refute(now)' ./core/reach ./node/reach
try "refuted evidence counts no more" core/reach/reach.go \
  'd.state, d.floor, d.restUntil = Reachable, now, now.Add(rest)' 'd.state, d.restUntil = Reachable, now.Add(rest)' ./core/reach
try "a partition ends by two upstreams" core/reach/reach.go \
  'EndUpstreams: 2,' 'EndUpstreams: 1,' ./core/reach
try "a partition ends where one upstream runs" core/reach/reach.go \
  'd.upstreams == 1 || a.inARow >= d.policy.EndRepeats' 'a.inARow < 0' ./core/reach ./node/reach
try "what refutes a suspicion late also ends a partition" node/reach/monitor.go \
  'm.try(ctx, endSample, m.endTimeout())' 'm.try(ctx, endSample, endTimeout)' ./node/reach -run 'AnswerLate'
try "a connection that opens proves nothing where all is silent" node/reach/monitor.go \
  'if m.detector.AnswersNeeded() {' 'if false {' ./node/reach
try "one given up for silence and one reset need no answer" core/reach/reach.go \
  'if f.Kind == Unanswered && d.counts(&f, now) {' 'if d.counts(&f, now) {' ./core/reach
try "a lease is kept while nobody can take it" node/coordinator/link/elector.go \
  'if !e.StoreReachable() {
		return false' 'if false {
		return false' ./node/coordinator/link -run 'NotGivenUp'
try "open connections serve where no other host is known" node/reach/monitor.go \
  '(!d.Monitor.opensNothingNew() || len(d.Addresses()) > 0)' 'true' ./node/reach -run 'DetourIsNeeded'
try "a refused connection excludes nothing while no new one opens" node/fleet/attempt.go \
  'if x.e.fleet.OwnEvidenceDoubted() {' 'if false {' ./node/fleet -run 'NothingInDoubt'
try "a pause of the process is no silence" core/reach/reach.go \
  'func (d *Detector) Disregard(now time.Time) { d.floor = now }' 'func (d *Detector) Disregard(time.Time) {}' ./core/reach
try "trials ask upstreams that did not fail" core/reach/sample.go \
  'case c.Failed:' 'case false:' ./core/reach
try "a trial connection has to stay open" node/upstream/conn/trial.go \
  'return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)' 'return n >= 0 || errors.Is(err, os.ErrDeadlineExceeded)' ./node/upstream/conn -run Trial
try "failed dials are evidence" node/fleet/attempt.go \
  'x.recordLostContact(WhyUnconnected)' '' ./node/fleet ./node/reach -run 'Evidence|Noticed|Partition|Refused'
try "no dials while nothing is suspected" core/reach/reach.go \
  'if cause == NoCause {' 'if false {' ./core/reach ./node/reach
try "exclusions in doubt go to no other host" node/fleet/fleet.go \
  'if f.OwnEvidenceDoubted() {' 'if false {' ./node/fleet ./node/reach
try "exclusions end with the partition" node/fleet/contact.go \
  'e.health.Forget(now, e.own.Requests > 0)' '_ = now' ./node/fleet -run Marks
try "a refusal is a crash only if others accept" node/reach/monitor.go \
  'return len(round) >= minWitnesses && !anyAccepted(round)' 'return len(round) > confirmSample' ./node/reach -run Crash
try "few upstreams may have crashed together" node/reach/monitor.go \
  'return len(round) >= minWitnesses && !anyAccepted(round)' 'return !anyAccepted(round)' ./node/reach -run Crash
try "exclusions of a partitioned host are not heeded" node/coordinator/reports/aggregate.go \
  '|| h.report.Partitioned {
			continue
		}
		for _, id' '{
			continue
		}
		for _, id' ./node/coordinator/reports -run PartitionedHostsWord
try "refused connections of a partitioned host are retracted" node/coordinator/permits/permits.go \
  'return r.by == from })' 'return false })' ./node/coordinator/permits -run Retracts
try "only a host's own word is retracted" node/coordinator/permits/permits.go \
  'return r.by == from })' 'return true })' ./node/coordinator/permits -run Retracts
try "refused connections are not reported in doubt" node/coordinator/link/permitclient.go \
  'if c.link.deps.Fleet.OwnEvidenceDoubted() {' 'if false {' ./node/coordinator/link -run InDoubt
try "crashes of a partitioned host do not count" node/coordinator/quarantine/ledger.go \
  'if !r.Partitioned {' 'if true {' ./node/coordinator/quarantine -run CrashesOfAPartitioned
try "partitioned hosts forward nothing" node/coordinator/reports/detours.go \
  '!r.Partitioned && r.DetourAddress != ""' 'r.DetourAddress != ""' ./node/coordinator/reports -run Detours
try "partitioned hosts use different detours" node/coordinator/reports/detours.go \
  'from[(first+i)%len(from)]' 'from[(0*first+i)%len(from)]' ./node/coordinator/reports -run ToldOfDetours
try "few are told of detours unasked" node/coordinator/reports/detours.go \
  'len(a.hosts) > fewHosts ||' '' ./node/coordinator/reports -run ToldOfDetours
try "detours are not used for ever" node/coordinator/link/detours.go \
  'if now.Sub(l.detours.at) > detourTTL {' 'if now.Sub(l.detours.at) < 0 {' ./node/coordinator/link -run Detours
try "a partitioned holder grants what it excludes" node/coordinator/permits/permits.go \
  'if p.deps.Fleet.OwnEvidenceDoubted() {' 'if false {' ./node/coordinator/permits -run GrantsWhat
try "a partitioned holder hands over" node/coordinator/link/elector.go \
  'e.Link.shouldYieldPartitioned()' 'false' ./node/coordinator/link -run PartitionedHolder
try "a partitioned host campaigns last" node/coordinator/link/elector.go \
  'if e.Link.Partitioned() && e.linkedWithin' 'if false && e.linkedWithin' ./node/coordinator/link -run PartitionedHolder
try "detour: one hop only" node/gate/detour.go \
  'case q.hop != nil: // one hop only' 'case false:' ./node/gate -run 'NoSecondHop'
try "detour: a host that is cut off itself takes nothing" node/gate/lend.go \
  'case d.Detour != nil && d.Detour.Needed():' 'case false:' ./node/gate -run 'NoSecondHop'
try "detour: nothing under an older configuration" node/gate/lend.go \
  'table.Config.Version < h.version' 'false' ./node/gate -run 'TakesOnlyWhat'
try "detour: bound of what is lent" node/gate/lend.go \
  'why == "" && !g.lender.take()' 'why == "" && !g.lender.take() && false' ./node/gate -run 'TakesOnlyWhat'
try "detour: a lost hop may have run" node/gate/detour.go \
  'q.sends++
	q.recordWrites(1)
	q.mayHaveRun(1)' 'q.sends++
	return result{notRun: true, hostRefused: true}' ./node/gate -run 'NotReportedAsNotRun'
try "detour: an unmarked answer may have run" node/gate/detour.go \
  'return result{why: "hop_unmarked"}' 'return result{notRun: true, hostRefused: true}' ./node/gate -run 'OnlyTheHelpingHost'
try "detour: an answered hop may have run" node/gate/detour.go \
  'q.mayHaveRun(sends)
		return q.forwardHop' 'return q.forwardHop' ./node/gate -run 'NotReportedAsNotRun'
try "detour: an upstream does not speak for its host" node/gate/attempt.go \
  'q.markHop(hopAnswered)' '' ./node/gate -run 'OnlyTheHelpingHost'
try "detour: hop headers stay between hosts" node/gate/attempt.go \
  'stripHop(resp.Header)' '' ./platform -run 'EachKindOfRequest'
try "detour: forged hop headers" node/gate/attempt.go \
  'stripHopByHop(h)
	stripHop(h)' 'stripHopByHop(h)' ./node/gate -run 'HopHeadersOfACallerReachNoUpstream'
try "detour: requests that wait are diverted" node/gate/divert.go \
  'func (l *holds) divertLocked() {' 'func (l *holds) divertLocked() { return;' ./platform -run 'ThatWaitsGoesTheDetour'
try "detour: repeatable requests leave silent upstreams" node/gate/failover.go \
  'return q.mayDetour()' 'return false' ./platform -run 'LeavesASilentUpstreamForAnotherHost'
try "detour: a host may hold a request" node/gate/detour.go \
  'hopSilence+q.hopHold(now)' 'hopSilence' ./node/gate -run 'HostThatHoldsIt'
try "detour: a host that fell silent comes after the others" node/gate/detour.go \
  'if failoverReason(ctx) != "" {
		q.g.hopHosts.rest' 'if false {
		q.g.hopHosts.rest' ./node/gate -run 'FallsSilent'
try "detour: the host that forwards charges" node/gate/detour.go \
  'over, ok := q.charge(); !ok' 'over, ok := (selection{}), true; !ok' ./node/gate -run 'ChargedByTheForwardingHost'
try "detour: the host that helps does not charge again" node/gate/hop.go \
  'if q.caller.charged {' 'if false {' ./node/gate -run 'ChargedByTheForwardingHost'
try "a charge is given back if nothing has run" node/gate/caller.go \
  'if c := &q.caller; c.charged && q.possibleRuns == 0 {' 'if c := &q.caller; false && c.charged {' ./node/gate -run 'ChargedByTheForwardingHost'
try "detour: the next host is asked" node/gate/detour.go \
  'case res.hostRefused:' 'case false:' ./node/gate -run 'CostsNoRetry'
try "detour: a stopping host takes nothing" node/gate/lend.go \
  'case d.Draining(), d.RejectsNew()' 'case d.RejectsNew()' ./platform -run 'NextHostTakes'
try "detour: a stop finishes what others forwarded" node/host/stop.go \
  'for h.drainStep() > 0 && time.Since' 'for h.callers.drainStep() > 0 && time.Since' ./platform -run 'StopOfTheHelpingHost'
try "detour: the time left shrinks" node/gate/detour.go \
  'q.g.deps.Codec.SetForwarded(h, hopTimeLeft(q.deadline.Sub(now)), q.lastEventID)' 'q.g.deps.Codec.SetForwarded(h, hopTimeLeft(q.deadline.Sub(q.start)+time.Second), q.lastEventID)' ./platform -run 'EachKindOfRequest'
try "detour: a resumed stream says after which event" platform/headers.go \
  'setTimeLeft(h, timeLeft)
	if lastEventID != "" {' 'setTimeLeft(h, timeLeft)
	if false {' ./platform -run 'StreamThroughALostHost'
try "refusals of a brittle upstream are bounded" core/backpressure/room.go \
  'len(r.exposed)+len(r.refused)+r.overdue(now) >= f.Refusals' 'false' ./core/backpressure -run 'Refused|Stands'
try "a refusal counts for a second" core/backpressure/room.go \
  'r.refused = append(r.refused, now)' '' ./core/backpressure -run 'Refused|Stands|Bounded'
try "room of a brittle upstream shrinks on a refusal" core/backpressure/room.go \
  'r.limit = max(limit, minRoom)' '' ./core/backpressure -run 'Learnt'
try "requests that are overdue may still be refused" core/backpressure/room.go \
  'len(r.exposed)+len(r.refused)+r.overdue(now) >= f.Refusals' 'len(r.exposed)+len(r.refused) >= f.Refusals' ./core/backpressure -run 'Overdue'
try "slots are uncertain after a refusal within them" core/backpressure/room.go \
  'r.doubt.begin(now)' '' ./core/backpressure -run 'Slots'
try "slots are uncertain for a time where no refusal may be caused" core/backpressure/room.go \
  'r.waryUntil = now.Add(waryFor)' '' ./core/backpressure -run SlotsAreUncertain
try "each request beyond the slots accounts for one refusal" core/backpressure/doubt.go \
  'if len(d.excused) >= beyond {' 'if beyond == 0 {' ./core/backpressure -run 'Slots'
try "a new account is quiet at first" core/backpressure/room.go \
  'quietUntil: now.Add(refusalWindow)' 'quietUntil: now' ./core/backpressure -run 'NewAccount'
try "an upstream that was gone starts slowly" core/backpressure/room.go \
  'func (r *Room) Restart() { r.slowStart.Start() }' 'func (r *Room) Restart() {}' ./core/backpressure -run 'Gone'
try "requests of an earlier coordinator are in flight" core/backpressure/room.go \
  'return counted + min(r.lastExcess, r.leastExcess)' 'return counted' ./core/backpressure -run 'InFlight'
try "hosts alone use their part of the slots" node/fleet/brittle.go \
  '.PartOf(s, int(h.Sum32()%uint32(max(s.Count, 1))))' '' ./node/fleet -run 'PartOnly'
try "refusals counted a host" core/backpressure/brittle.go \
  'return Fragility{Slots: slots}' 'return Fragility{Slots: slots, Refusals: f.Refusals}' ./core/backpressure -run 'Parts|Stands'
try "a brittle upstream needs a counted permit" node/gate/permit.go \
  '|| e.Brittle().Stated && !permit.WithinRoom' '' ./node/gate -run 'NotCounted'
try "abandoned requests keep their slots" core/backpressure/abandoned.go \
  'r.abandoned.add(now)' '' ./core/backpressure -run 'Abandoned'
try "a lost refusal counts" core/backpressure/abandoned.go \
  'if r.isExposed(s.number)' 'if false' ./core/backpressure -run 'Abandoned'
try "requests of a lost host keep their slots" node/coordinator/permits/permits.go \
  'p.rooms.abandoned(g, p.deps.Now())' '' ./node/coordinator/permits -run 'LostHost'
try "an abandoned request is told to the coordinator" node/gate/permit.go \
  'if abandoned && p.WithinRoom' 'if false && p.WithinRoom' ./node/gate -run 'Abandoned'
try "a host alone keeps the slots of abandoned requests" node/fleet/brittle.go \
  'if x.abandoned {' 'if false {' ./node/fleet -run 'Abandoned'
try "calls to a brittle upstream need a permit" node/fleet/limits.go \
  '(e.Limit().Stated || e.Brittle().Stated)' 'e.Limit().Stated' ./node/fleet -run 'Brittle'
try "nothing is sent to a brittle upstream beside the coordinator" node/fleet/limits.go \
  'if !s.uncoordinated || s.share.Count == 0 {
		return false' 'if s.share.Count == 0 {
		return false' ./node/fleet -run 'PartOnly'
try "a refusal is told to the coordinator" node/gate/signals.go \
  'permit.Refused(load)' '_ = load' ./node/gate -run 'WantOfRoom'
try "a refusal is counted for all hosts" node/coordinator/permits/rooms.go \
  'p.rooms.refused(g, insideOf(e), p.deps.Now())' '_ = g' ./node/coordinator/permits -run 'AllHosts'
try "grants count in the room of all hosts" node/coordinator/permits/rooms.go \
  'w.room, w.fragility, w.send = a.Room, f, a.Sent(f, inFlight, now)' 'w.fragility = f' ./node/coordinator/permits -run 'Brittle|AllHosts'
try "a coordinator waits for room" node/coordinator/permits/rooms.go \
  'out.Backoff, out.InFlight = max(out.Backoff, wait), inFlight' 'out.InFlight = max(inFlight, int(wait*0))' ./node/coordinator/permits -run 'Brittle'
try "the account ends with the brittleness" node/coordinator/permits/rooms.go \
  '|| !e.Brittle().Stated {' '{' ./node/coordinator/permits -run 'AccountEnds'
try "brittleness is told to other hosts" node/fleet/signals.go \
  'changed = limited || brittle ||' 'changed = limited ||' ./node/fleet -run 'Brittle'
try "a new upstream of a brittle service is brittle" node/fleet/brittle.go \
  'return e.fleet.brittle.of(e.service, now)' 'return e.signal.Brittle' ./node/fleet -run 'Brittle'
try "the stricter brittleness wins" core/backpressure/signal.go \
  'if b.Brittle.stricter(a.Brittle) {' 'if false {' ./core/backpressure -run 'Stricter'
try "unreadable brittleness stands none" platform/headers.go \
  'if len(values) > 1 {
		return backpressure.Brittle{Stated: true}
	}' '' ./platform -run 'Unreadable'
try "credit of repeats lapses" core/budget/budget.go \
  'a.credit[a.index(stale)] = 0' '_ = stale' ./core/budget
try "the slack is spent once in a window" core/budget/budget.go \
  'max(slackShare*a.policy.Slack-spent, 0)' 'max(slackShare*a.policy.Slack-0*spent, 0)' ./core/budget -run 'Slack|NoSpan'
try "what old requests have earned has lapsed" core/budget/budget.go \
  'if n <= a.newest-freshBuckets {' 'if false {' ./core/budget ./node/coordinator -run 'NoSpan|ReadLate'
try "a report says when its requests came" node/coordinator/repeats.go \
  'from = now.Add(-time' 'from = now.Add(0*time' ./node/coordinator -run 'ReadLate'
try "a question for a repeat names the requests since the last report" node/coordinator/link/repeats.go \
  'Requests: uint32(n), RequestsFromMs' 'Requests: uint32(n * 0), RequestsFromMs' ./node/coordinator/link -run 'QuestionForARepeat'
try "a report refers to its coordinator's clock" node/coordinator/link/repeats.go \
  'k.address != address ||' '' ./node/coordinator/link -run 'RefersTo'
try "a late repeat keeps its place" core/budget/budget.go \
  'a.late[i] += fromCredit' '' ./core/budget
try "the slack of a late repeat stays spent" core/budget/budget.go \
  'a.slack[i] += l.FromSlack' '' ./core/budget
try "late repeats are taken from the allowance" core/budget/budget.go \
  'u.Credit+u.Slack-u.Late < 1-rounding' 'u.Credit+u.Slack < 1-rounding' ./core/budget
try "a first send that was given up is followed" node/gate/unread.go \
  'q.firstSend = q.follow(e)' '_ = e' ./node/gate -run 'FirstSend'
try "the time left is that of the write" node/gate/attempt.go \
  'TimeLeft: q.deadline.Sub(q.g.deps.Now())' 'TimeLeft: q.deadline.Sub(q.sentAt)' ./node/gate -run 'TimeLeftIs'
try "a charge is as old as its question" node/gate/retrybudget.go \
  'q.chargedAt = c.askedAt' 'q.chargedAt = q.g.deps.Now()' ./node/gate -run 'AsOldAs'
try "a charge is looked at before the write" node/gate/attempt.go \
  'q.lapsedUnsent = q.chargeLapsed()' 'q.lapsedUnsent = false' ./node/gate -run 'AsOldAs'
try "bytes that were on their way are no sign" node/fleet/reading.go \
  'e.fleet.deps.Now().Add(inFlightMargin)' 'e.fleet.deps.Now()' ./node/gate -run 'HeardOf'
try "a late repeat is told until a report is confirmed" node/coordinator/link/repeats.go \
  'return slices.Clone(c.late)' 'defer func() { c.late = nil; c.lateSent = 0 }(); return slices.Clone(c.late)' ./node/coordinator/link -run 'LateRepeat'
try "a term that goes on is no new term" node/coordinator/coordinator.go \
  'if holds && term.Epoch != c.lastEpoch {' 'if holds && term.Epoch != c.term.Epoch {' ./node/coordinator -run 'TermThatGoesOn'
try "a holder after a forgotten one waits for the slack" node/coordinator/repeats/repeats.go \
  'l.hasTerm && hadLast' 'l.hasTerm' ./node/coordinator/repeats
try "a new holder waits for the slack" node/coordinator/repeats/repeats.go \
  'if !first {' 'if false && !first {' ./node/coordinator/repeats
try "a new count begins without the slack" node/coordinator/repeats/repeats.go \
  'map[string]*budget.Account{}, false
}' 'map[string]*budget.Account{}, l.hasTerm
}' ./node/coordinator/repeats
try "no slack without the lease" node/coordinator/repeats/repeats.go \
  'Take(holds && l.hasTerm' 'Take(l.hasTerm' ./node/coordinator/repeats
try "repeats are permitted by an acting host" node/coordinator/repeats.go \
  'if !c.Acting() {' 'if false && !c.Acting() {' ./node/coordinator -run 'EarnRepeats'
try "requests are reported" node/coordinator/link/link.go \
  'l.addRequests(r)' '' ./node/coordinator/link -run 'CountedOnce'
try "requests are counted in one account" node/gate/retrybudget.go \
  'if r.pool.CountRequest(service) {
		return
	}' 'r.pool.CountRequest(service)' ./node/gate -run 'WithoutAnAnswer'
try "counts of a lost coordinator are dropped" node/coordinator/link/link.go \
  'l.requests.take("", l.deps.Now()) // too old for another coordinator' '' ./node/coordinator/link -run 'CountedOnce'
try "a started process has no share of its own" node/gate/retrybudget.go \
  's.own.Take(false, now)' 's.own.Take(true, now)' ./platform -run 'TestRepeatsStay'
try "a charge lapses" node/gate/retrybudget.go \
  '> d.RetryBudget.policy.PermitLifetime()' '> time.Hour' ./node/gate -run 'EachSendAfter'
try "a sent charge is used up" node/gate/retrybudget.go \
  'q.chargedAt = time.Time{}' '' ./node/gate -run 'EachSendAfter'
try "a hop's sends are counted" node/gate/detour.go \
  'q.recordWrites(sends)' '' ./node/gate -run 'WhatAHostSent'
try "a host that answered may be asked again" node/gate/detour.go \
  'case res.hostAnswered:' 'case false:' ./node/gate -run 'AskedAgain'
try "a lost host counts as having made all runs that it might" node/gate/detour.go \
  'q.mayHaveRun(q.runsGranted)
	if why' 'q.mayHaveRun(1)
	if why' ./node/gate -run 'ALostHostCounts'
try "a charge before a hop" node/gate/detour.go \
  'if !q.maySend() {' 'if false && !q.maySend() {' ./node/gate -run 'WhatAHostSent'
try "nothing received is no sign of life" node/fleet/contact.go \
  'c.lastReceived.Store(-int64(receivedPrecision))' '' ./node/reach -run 'NothingReceived'
try "a load of four figures is read" platform/load.go \
  'len(figures) < loadCounts' 'len(figures) != loadCounts' ./platform -run 'EachFigure'
try "a slowdown is bounded" platform/load.go \
  '|| percent > maxSlowdownPercent' '' ./platform -run 'EachFigure'
try "a stated slowdown fades" core/speed/slowdown/stated.go \
  '(s.last-usual)*decay(now.Sub(s.at), fadeTime)' '(s.last-usual)' ./node/fleet -run 'StatedSlowdownFades'
try "what is learnt is forgotten" core/speed/slowdown/learnt.go \
  'kept := decay(now.Sub(l.at), forgetTime)' 'kept := 1.0' ./core/speed/slowdown -run 'UsedAgain|Forgotten'
try "noise is no slowdown" core/speed/slowdown/learnt.go \
  'math.Abs(mean)-doubtfulErrors*l.standardError()' 'math.Abs(mean)' ./core/speed/slowdown -run 'Noise'
try "a slow upstream costs more time" core/balance/score.go \
  's + e.slowdown()*work' 's + work' ./core/speed/slowdown ./node/coordinator/permits -run 'Unlike|GetsLess'
try "a slow upstream has less room" core/balance/prefill.go \
  'e.pendingLimit(r.MaxPendingPromptTokens)' 'r.MaxPendingPromptTokens' ./core/balance -run 'SmallerOne'
try "a stated slowdown is not learnt besides" node/coordinator/permits/speeds.go \
  'time.Duration(float64(took) * m.mean / stated)' 'took' ./node/coordinator/permits -run 'NotLearntBesides'
try "a failure at once is no speed" node/coordinator/permits/speeds.go \
  'if succeeded {' 'if true {' ./node/coordinator/permits -run 'FailsAtOnce'
try "only complete calls tell the speed" node/coordinator/permits/speeds.go \
  '!e.Complete || ' '' ./node/coordinator/permits -run 'OnlyCompleteCalls'
try "an earlier process's speed is not inherited" node/coordinator/slowdowns.go \
  'ok && e.StartedMs() == s.Born' 'ok' ./node/coordinator -run 'InheritsTheLearnt'
try "the coordinator's estimate ends" node/fleet/slowdown.go \
  's.relayed.multiple > 0 && now.Sub(s.relayed.at) < relayedTTL' 's.relayed.multiple > 0' ./node/fleet -run 'WhileItIsNew'
try "chance moves no models" node/fleet/slowdown.go \
  'if learnt < minLastingLearnt {' 'if false {' ./node/fleet -run 'OnlyALargeLearnt'
try "a slow engine is a smaller one in places" core/replica/replica.go \
  '1 - (1-u.UnavailableShare)/u.Slowdown' 'u.UnavailableShare' ./core/replica -run 'Slow'
try "streams that pause weigh in the pick" core/balance/balance.go \
  's += streams' 's += 0 * streams' ./node/coordinator/permits -run 'ALargePromptGoes'
try "risk of a new stream" core/prefill/exposure.go \
  'return min(1, perSecond' 'return 0 * min(1, perSecond' ./core/prefill
try "two prompts in one span" core/prefill/cost.go \
  'before := span + p.readWithin(span, now)' 'before := span' ./core/prefill
try "streams that are late count nothing" core/prefill/prefill.go \
  'if !g.LateAt.IsZero() && now.After(g.LateAt) {' 'if false {' ./core/prefill
try "prompts ahead beside one that is not reported only" core/prefill/advance.go \
  'lost > 0 || len(p.prompts) != 1' 'lost > 0 || len(p.prompts) < 1' ./core/prefill
try "prompts ahead by the measured way only" core/prefill/advance.go \
  'if now.Before(due) {' 'if due.IsZero() {' ./core/prefill
try "prompts ahead at the cost of streams" core/prefill/advance.go \
  'gained <= 0 || p.Late(read, s, slowdown, now)*read.Seconds() >= gained.Seconds()' 'gained <= 0' ./core/prefill
try "lost reports of first events" core/prefill/advance.go \
  'lost += g.Tokens' 'lost += 0' ./node/coordinator/permits -run 'AFrozenHost'
try "pause bounds that are stated" node/coordinator/permits/pipelines.go \
  'if w.mayPrecede() && out' 'if out' ./node/coordinator/permits -run 'WithoutPauseBounds'
try "the team that was granted least is next" core/fairqueue/queue.go \
  'if f.tag != o.tag {' 'if false {' ./core/fairqueue -run 'Weights'
try "work counts by weight" core/fairqueue/account.go \
  'a.finish = start + cost/a.weight' 'a.finish = start + 1' ./core/fairqueue -run 'Weights'
try "a team's credit is bounded" core/fairqueue/account.go \
  'max(a.finish, r.virtual-a.credit)' 'a.finish' ./core/fairqueue -run 'Credit'
try "a rank that was passed over is next" core/fairqueue/scan.go \
  'f == nil || lr.owed <' 'f != nil || lr.owed <' ./core/fairqueue -run 'LessUrgent'
try "a scan is shared by the teams" core/fairqueue/scan.go \
  'f.skipped += it.request.Cost / f.weight' '' ./core/fairqueue -run 'AScanIsShared'
try "requests name their team" node/coordinator/link/permitclient.go \
  'Account: q.Account' 'Account: ""' ./node/coordinator/link -run 'QueueThatIsGone'
try "grants without a wait count" node/coordinator/permits/permits.go \
  'p.chargeGranted(w, now)' '' ./node/coordinator/permits -run 'WithoutWaiting'
try "an event tries the models of its upstream" node/coordinator/permits/waiting.go \
  'return append(e.ResidentModels(), "")' 'return []string{"other", "m"}' ./node/coordinator/permits -run 'OtherModels'
try "a lost host's requests wait no more" node/coordinator/permits/permits.go \
  'p.waiting.removeStream(from, p.deps.Now())' '' ./node/coordinator/permits -run 'LostHost|EarlierTerm'
try "new weights are in force" node/coordinator/permits/queue/queue.go \
  's.Reweigh(weight)' '' ./node/coordinator/permits/queue -run 'NewWeight'
try "a doubtful wait is no refusal" node/coordinator/permits/queue/outlook.go \
  'doubtFactor*maxWait.Seconds()' '0*maxWait.Seconds()' ./node/coordinator/permits -run 'Hopeless'
try "nothing is predicted without observation" node/coordinator/permits/queue/outlook.go \
  'if n < minRateGrants {' 'if n < 1 {' ./node/coordinator/permits/queue -run 'FewGrants'
try "those told return one after the other" node/coordinator/permits/queue/outlook.go \
  'at.After(room) && at' 'false && at' ./node/coordinator/permits -run 'Hopeless'
try "a hopeless request is not sent by its host" node/gate/pick.go \
  'if ok && decision.unservable &&' 'if false && decision.unservable &&' ./node/gate -run 'Hopeless'
try "a told time is not spread" node/gate/refuse.go \
  'if !q.retryScheduled {' 'if true {' ./node/gate -run 'Hopeless'
try "an unusable weight is absent" platform/config.go \
  '|| !deploy.IsWeight(w) {' '{' ./platform -run 'Weight'
try "a large prompt has its turn" node/coordinator/permits/largeprompts.go \
  'b.passedOver += work' 'b.passedOver += 0 * work' ./node/coordinator/permits -run 'LargePrompt'
try "an upstream is kept from arrivals as well" node/coordinator/permits/permits.go \
  'entries = p.offered(w, entries)' '' ./node/coordinator/permits -run 'LargePrompt'
try "a team's more urgent requests get its limit first" core/quota/serve.go \
  'case out == nil:' 'case i >= 0:' ./core/quota -run 'UrgentRequestsGet'
try "a floor for a team's less urgent requests" core/quota/serve.go \
  'r.reserve >= w.cost' 'false' ./core/quota -run 'TheirFloor'
try "times of return one after the other" core/quota/promise.go \
  'p.nextAt = at.Add(' '_ = at.Add(' ./core/quota -run 'OneAfterTheOther'
try "those that are overdue go last" core/quota/account.go \
  'if q.Overdue {' 'if false && q.Overdue {' ./core/quota -run 'OverdueGoLast'
try "without a ledger the less urgent give way" core/quota/rankshares.go \
  'left -= part' '_ = part' ./core/quota -run 'GiveWay'
try "a charge of a permit that is given up is undone" node/coordinator/permits/teamwaits.go \
  'if !e.Uncharged {' 'if true {' ./node/coordinator/permits -run 'GivenUpIsUndone'
try "no waits of a host that is gone" node/coordinator/permits/permits.go \
  'p.teams.removeStream(from, &p.deps)' '' ./node/coordinator/permits -run 'AsksNoMore'
try "a new term asks again for what waited" node/coordinator/permits/permits.go \
  'p.askTeamsAgain()' '' ./node/coordinator/permits -run 'ANewTerm'
try "a promised time is told as it is" node/gate/limits.go \
  'if !o.promised && !o.exact {' 'if true {' ./node/gate -run 'WhatItWasPromised'
try "what the coordinator let wait is not sent without it" node/gate/permit.go \
  'errors.As(err, &denied) && q.needs' 'errors.As(err, &denied) && false && q.needs' ./node/gate -run 'LetWait'
try "a load goes where others leave room" core/replica/spread.go \
  'share := max(level-r.othersLoad(), 0) * r.at.capacity' 'share := r.share + 0*level' ./core/replica -run 'Spread'
try "no room at the cost of another upstream's" core/replica/room.go \
  ' && r.othersLoad() > sharedLoad' '' ./core/replica -run 'Names|Colliding'
try "room at idle upstreams" core/replica/room.go \
  'if s.evenLoads || most <= 0 {' 'if true {' ./core/replica -run 'Colliding'
try "a move for locality pays for its load" core/replica/locality.go \
  'return l.crossing * l.model.demand.Lasting.Seconds()' 'return l.crossing * 1e6' ./core/replica -run 'StayForSeconds'
try "replicas where callers lack one" core/replica/locality.go \
  'return localReplicaSeconds * (1 - min(max(m.lacking(u.dataCentre, m.replicas+1), 0), 1))' 'return 0' ./core/replica -run 'Callers'
try "less urgent demand needs more gain" core/replica/urgency.go \
  'return p.MinPressureRatio * p.urgencyRatio(evicted, wanted)' 'return p.MinPressureRatio' ./core/replica -run 'Urgent'
try "parts of the demand decay" node/coordinator/demand/demand.go \
  'm.parts.scale(share)' '_ = share' ./node/coordinator/demand -run 'Parts'
try "parts of the demand are handed over" node/coordinator/demand/handover.go \
  'h.EngineMs, h.DataCentre, h.Rank = ms, at.dataCentre, uint32(at.rank)' 'h.EngineMs, h.Rank = ms, uint32(at.rank)' ./node/coordinator/demand -run 'Parts'
try "distance within the objective" core/balance/score.go \
  'return max(e.RemoteMs, min(localityRoundTrips*e.RemoteMs, slack))' 'return max(e.RemoteMs, localityRoundTrips*e.RemoteMs+0*slack)' ./core/balance -run 'Distant'
try "the shortest round trip counts" core/distance/distance.go \
  'ok && least <= took' 'ok && least < 0 && took < 0' ./core/distance
try "the way between data centres is no slowness" node/coordinator/permits/speeds.go \
  'way += p.deps.RoundTrip(g.event.DataCentre, other)' 'way += 0' ./node/coordinator/permits -run 'NoSlowness'
try "a frozen engine gets one prompt at a time" core/prefill/advance.go \
  'case !since.IsZero() && g.at.After(since):' 'case false:' ./node/coordinator/permits -run 'AFrozenEngine'
try "ages are told by team" node/gate/age.go \
  'e := a.byKind[kind]' 'kind.team = ""
	e := a.byKind[kind]' ./node/gate -run 'AnotherTeams'
try "bytes of a head" node/upstream/conn/conn.go \
  'if l.headRemaining == 0 {' 'if false {' ./node/upstream/conn -run 'EndlessBytes'
try "bytes of an answer that is passed over" node/upstream/conn/attribution.go \
  'io.LimitReader(resp.Body, maxForeignBytes+1)' 'resp.Body' ./node/upstream/conn -run 'EndlessBytes'
try "time of an answer that is passed over" node/upstream/conn/attribution.go \
  'time.Now().Add(foreignBodyTimeout)' 'time.Time{}' ./platform -run 'PassedOverHasBounds'
try "answers that are passed over" node/upstream/conn/attribution.go \
  'if n == maxForeignAnswers {' 'if false {' ./node/upstream/conn -run 'EndlessBytes'
try "bytes of an event" node/gate/splitter.go \
  's.tooLong = len(s.incomplete) > maxEventBytes' '' ./node/gate -run 'Event|Splitter'
try "the rest of a refusal" node/upstream/conn/read.go \
  'r.SetReadDeadline(time.Now().Add(wait)) != nil' 'false' ./platform -run 'RestOfARefusal'
try "a bound of a read ends with its exchange" node/upstream/conn/read.go \
  'r.bounded = true' '' ./node/upstream/conn -run 'Discarded'
try "the rest of a failure" node/gate/attempt.go \
  'replaceable && resp.SetReadDeadline(' 'false && resp.SetReadDeadline(' ./platform -run 'RestOfAFailure'
try "bytes of a failure" node/gate/attempt.go \
  '|| len(body) > maxBufferedBytes)' ')' ./platform -run 'RestOfAFailure'
try "bytes on an idle connection" node/upstream/conn/pool.go \
  '|| !isClean(l.nc)' '' ./node/upstream/conn -run 'OnAnIdleConnection'
try "bytes in the buffer behind an answer" node/upstream/conn/client.go \
  '|| r.conn.br.Buffered() > 0' '' ./node/upstream/conn -run 'UsedAgain'
try "a connection that speaks another protocol" node/upstream/conn/client.go \
  ' || resp.StatusCode == http.StatusSwitchingProtocols, stop' ', stop' ./node/upstream/conn -run 'UsedAgain'
try "what is passed on ends with the time" node/gate/refuse.go \
  'if q.ctx != nil && errors.Is(context.Cause' 'if false && q.ctx != nil && errors.Is(context.Cause' ./platform -run 'WhatIsPassedOn'
try "what is not read in time is dropped" node/drain/conn.go \
  'if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setResetOnClose(true)' 'if errors.Is(err, os.ErrDeadlineExceeded) {' ./platform -run 'WhatIsPassedOn'
try "no wait after an answer that was not read" node/drain/conn.go \
  '!c.resetOnClose.Load() && c.mayHaveUnread.Load()' 'c.mayHaveUnread.Load()' ./platform -run 'WhatIsPassedOn'
try "the rest of another host's refusal" node/upstream/conn/read.go \
  'r.SetReadDeadline(time.Now().Add(wait)); err != nil' 'error(nil); err != nil' ./node/gate -run 'TheReasonOfAHost'
try "the route is that of the path as it was sent" node/gate/gate.go \
  'sentPath(q.r.RequestURI)' 'q.r.URL.Path' ./node/gate -run 'PathAsItWasSent'
try "an escape with other bytes is no slash either" node/gate/gate.go \
  'sentPath(q.r.RequestURI)' 'q.r.URL.EscapedPath()' ./node/gate -run 'PathAsItWasSent'
try "use of a limit is reported for its whole time" core/quota/share.go \
  'for _, u := range s.older {' 'for _, u := range s.older[:usageSlices/2] {' ./core/quota -run 'UsageIsReported'
try "use of a limit that is old is not reported" core/quota/share.go \
  's.unreported, s.older, s.sliceStarted = usage{}, [usageSlices]usage{}, now' 's.sliceStarted = now' ./core/quota -run 'UsageIsReported'
try "a newer state corrects an account" core/quota/ledger.go \
  '	a.correctUntil = now.Add(correctionWindow)
	state, ok := lastKnown(team)
	if !ok {' '	state, ok := lastKnown(team)
	if !ok { a.correctUntil = now.Add(correctionWindow)
' ./core/quota -run 'NewLedgerIsCorrected'
try "a state as old as its own corrects no account" core/quota/ledger.go \
  ' || !now.Add(-state.Age).After(a.stateAt) {' ' {' ./core/quota -run 'NewLedgerIsCorrected'
try "a host without upstreams does not ask on" node/gate/pick.go \
  'e != nil || p.Reason.CloserToFound(balance.NoModel)' 'e != nil || p.Reason != balance.NoModel' ./node/gate -run 'WithoutAnyUpstreamAsks'
try "a stream stays with an upstream that pauses" node/gate/failover.go \
  'f.mayLeave(since, &polls) && ' '(true || f.mayLeave(since, &polls)) && ' ./node/gate -run 'AStreamStays'
try "runs of a request do not overlap" node/gate/failover.go \
  'f.q.g.deps.Now().Sub(since) >= f.q.g.streamStay' 'true' ./node/gate -run 'RunsOfARequest'
try "a stream leaves a lost upstream in time" node/gate/failover.go \
  'streamStay = 800 * time.Millisecond' 'streamStay = 2 * time.Second' ./node/gate -run 'BeforeItsCallerLeaves'
try "a stream leaves at once what is gone" node/gate/failover.go \
  'case f.at.IsGone(), f.q.cutOff()' 'case f.q.cutOff()' ./node/gate -run 'ThatIsGoneAtOnce'
try "a stream leaves at once what is out of reach" node/gate/failover.go \
  'case f.at.IsGone(), f.q.cutOff() && !f.q.g.deps.Detour.BySilence():' 'case f.at.IsGone():' ./node/gate -run 'OutOfReachAtOnce'
try "a stream stays while all upstreams are silent" node/gate/failover.go \
  'f.q.cutOff() && !f.q.g.deps.Detour.BySilence()' 'f.q.cutOff()' ./node/gate -run 'AStreamStaysWhileAll'
try "a stream stays for as long as its upstream was silent" node/fleet/contact.go \
  'e.abortMovableLocked(e.unresponsiveSinceLocked(now))' 'e.abortMovableLocked(now.Add(-time.Second))' ./node/gate -run 'AStreamStaysWhileAll'
try "a call that may repeat does not stay" node/gate/failover.go \
  'case f.at == nil, f.q.route.Repeatable():' 'case f.at == nil:' ./node/gate -run 'ACallThatMayRepeatLeaves'
try "the time of silence is told under one lock" node/fleet/contact.go \
  'e.abortMovableLocked(e.unresponsiveSinceLocked(now))' 'e.mu.Unlock(); e.mu.Lock(); e.abortMovableLocked(e.unresponsiveSinceLocked(now))' -race -count=16 ./node/fleet -run 'TimeOfSilence'
try "bytes end an exclusion for silence" core/health/health.go \
  '(r.cause == causeSilence || ' '(' ./core/health -run 'ForSilence'
try "bytes end what rests on silence" core/reach/reach.go \
  'if !d.AnswersNeeded() || !last.After(d.suspected) {' 'if true {' ./core/reach -run 'BytesEndWhatRests'
try "bytes end nothing but what rests on silence" core/reach/reach.go \
  'if !d.AnswersNeeded() || ' 'if ' ./core/reach -run 'BytesEndWhatRests'
try "bytes of before a suspicion end nothing" core/reach/reach.go \
  ' || !last.After(d.suspected) {' ' {' ./core/reach -run 'BytesEndWhatRests'
try "a request waits for silent upstreams" node/gate/detour.go \
  '!q.started && q.awaitUpstreams()' 'false' ./node/gate -run 'WaitsAMoment'
try "a request does not wait where connections are refused" node/gate/detour.go \
  'left <= 0 || !q.g.deps.Detour.BySilence()' 'left <= 0' ./node/gate -run 'WaitsAMoment'
try "a pause of the host is no silence of an upstream" node/gate/failover.go \
  'return polls.isOver() && ' 'return ' ./node/gate -run 'AfterAPause'
try "an answer that names no request says nothing of its sender" node/gate/attribution.go \
  'if unnamed || info.Upstream' 'if info.Upstream' ./node/gate -run 'LoadIsTaken'
try "a refusal of another process says nothing of the upstream" node/gate/attribution.go \
  'if unnamed || info.Upstream != "" && info.Upstream != e.ID() {' 'if unnamed {' ./node/gate -run 'LoadIsTaken'
try "a share of failures excludes once for each failure" core/health/health.go \
  'return r.failedSince && ' 'return ' ./node/fleet -run 'OnceForEachFailure'
try "an upstream of many failures is tried by single requests" core/health/health.go \
  'if r.cause != causeErrorShare && ' 'if ' ./node/fleet -run 'OnceForEachFailure'
try "an answer counts from its own time" node/coordinator/quarantine/ledger.go \
  'return now.Add(-wire.Milliseconds(r.CompletedAgesMs[i]))' 'return now' ./node/coordinator/quarantine -run 'FromItsOwnTime'
try "an answer of before the first report of a crash holds" core/poison/ledger.go \
  'l.answers.record(d, at)' '' ./core/poison -run 'AnAnswerHolds'
try "a request that was answered before is barred for seconds" core/poison/judge.go \
  'if f.Answered && former < maxAnsweredBars {' 'if false {' ./core/poison -run 'AnsweredBefore'
try "short bars come to an end" core/poison/judge.go \
  'const maxAnsweredBars = 2' 'const maxAnsweredBars = 6' ./core/poison -run 'AnsweredBefore'
try "another body was not answered before" core/poison/request.go \
  '_, _ = h.Write(r.content.Body)' '' ./node/quarantine -run 'OnlyTheSameRequest'
try "an answer of long ago says nothing" node/quarantine/answered.go \
  'if now.Sub(a.since) > 2*answeredFor {' 'if false {' ./node/quarantine -run 'OnlyTheSameRequest'
try "a host says that it had answered what is barred" node/quarantine/answered.go \
  'g.addLocked(Event{Answered: &d, At: now})' '' ./node/quarantine -run 'HadAnsweredWhatIsBarred'
try "what another host had answered is barred for seconds" core/poison/ledger.go \
  'e.BarredUntil = began.Add(' '_ = began.Add(' ./core/poison -run 'AnotherHostsAnswer'
try "a stream without a name goes on while there is one version only" node/coordinator/link/origins.go \
  'case !history.Known():' 'case false:' ./node/coordinator/link -run 'OnlyWhileThereWasOneVersion'
try "every keeper's word on a content counts" node/coordinator/link/origins.go \
  'f, history = f.Merge(a.found[1]), history.Merge(a.found[2])' 'f, history = a.found[1], history.Merge(a.found[2])' ./node/coordinator/link -run 'OnlyWhileThereWasOneVersion'
try "versions of before all hosts were lost are read" node/coordinator/link/origins.go \
  'if !complete && !l.deps.LoadHistory(ctx) {' 'if false {' ./node/coordinator/link -run 'OnlyWhileThereWasOneVersion'
try "the acting coordinator writes which versions there are" node/coordinator/link/versions.go \
  'if l.own.Acting() {
			l.sendVersion' 'if false {
			l.sendVersion' ./platform -run 'AnotherCallersStream'
try "an attempt of two versions is not known" node/origin/registry.go \
  'case e[1].version != 0 && e[1].until >= at:' 'case false:' ./node/origin -run 'TwoVersions'
try "an error of an open connection does not say that nothing listens" node/gate/attempt.go \
  'case notRun && errors.Is(err, syscall.ECONNREFUSED):' 'case errors.Is(err, syscall.ECONNREFUSED):' ./platform -run 'ErrorAfterAByte'
try "rows of a former process are not overwritten" node/coordinator/streams/streams.go \
  'newest, k.slot = batch.WrittenUnixMs, (slot+1)%ringSize' '_ = slot' ./node/coordinator/streams -run 'RestartedHost'
try "a host is asked what it knows after it has read the store" node/coordinator/link/origins.go \
  'origin.HistoryKey(), content, versions)' 'origin.Key(0), content, versions, origin.HistoryKey())
	for i := range answers {
		answers[i].found[0] = answers[i].found[3]
	}' ./node/coordinator/link -run 'OnlyWhileThereWasOneVersion'
try "an upstream that is back may crash again" core/poison/ledger.go \
  'if at.Sub(c.at).Abs() < l.policy.MinRestart {' 'if true {' ./core/poison -run 'BackUnderItsID'
try "hosts notice one crash at different times" core/poison/ledger.go \
  'if at.Sub(c.at).Abs() < l.policy.MinRestart {' 'if at.Equal(c.at) {' ./core/poison -run 'BackUnderItsID'
try "a request sent after a crash is of another one" node/quarantine/detector.go \
  '(!e.terminated || sentAt.After(e.at))' '!e.terminated' ./node/quarantine -run 'MayCrashAgain'
try "a series of crashes is not one" core/poison/parts.go \
  'at.Sub(apart[len(apart)-1]) > l.policy.MassWindow' 'at.Sub(all[max(slices.Index(all, at)-1, 0)]) > l.policy.MassWindow' ./core/poison -run 'ASeriesOfCrashes'
try "bars of several requests do not explain a part's crashes" core/poison/parts.go \
  '&& !l.explainedByOneRequest(e, own) {' '&& len(l.crashTimes(e, func(c *crash) bool { return own(c) && !l.explainedByBar(c, e) })) == all {' ./core/poison -run 'EachRequestWithIt'
try "bars of several requests do not end a part's bar" core/poison/parts.go \
  'if n == all {' 'if n > 0 {' ./core/poison -run 'Outlasts'
try "one request explains the crashes of its parts" core/poison/parts.go \
  '&& !l.explainedByOneRequest(e, own) {' '{' ./core/poison -run 'OneBarredRequest'
try "a request with a heavy suspect is not sent again" node/gate/poison.go \
  '(!q.broke || guard.MayRepeat(q.content))' 'true' ./node/gate -run 'HeavySuspect'
try "only a crash stops repeats of a suspect" node/gate/poison.go \
  '(!q.broke || guard.MayRepeat(q.content))' 'guard.MayRepeat(q.content)' ./node/gate -run 'HeavySuspect'
try "a host knows heavy suspects" node/quarantine/guard.go \
  'if e.IsHeavy() {' 'if false {' ./node/quarantine -run 'HeavySuspect'
try "crashes that barred requests explain count each" core/poison/parts.go \
  'if counts(c) && l.explainedByRequest(c) {' 'if false {' ./core/poison -run 'ExplainCountEach'
try "a part is judged when it has settled" core/poison/parts.go \
  'l.noteSettles(e, times)' '_ = times' ./core/poison -run 'AsSoonAsItHasSettled'
try "a closed connection gives its room back" node/connlimit/conn.go \
  'if first {
		c.releaseLocked()
	}' '' ./node/connlimit -run 'NoMoreThanTheBounds'
try "an answered request gives its room back" node/connlimit/conn.go \
  'c.listener.limiter.held.Add(-c.held)' '' ./node/connlimit -run 'NoMoreThanTheBounds'
try "those that hold most are refused" node/connlimit/conn.go \
  'c.listener.limiter.enforceBytes()' '' ./node/connlimit -run 'NoMoreThanTheBounds'
try "a request that is served makes no room" node/connlimit/limiter.go \
  's.phase != serving && ' '' ./node/connlimit -run 'MakesNoRoom'
try "small requests find room beside large ones" node/connlimit/limiter.go \
  'largeShare   = 0.9' 'largeShare   = 1' ./node/connlimit -run 'SmallRequest'
try "those that never completed a request make room first" node/connlimit/limiter.go \
  'case s.answered != than.answered:' 'case false:' ./node/connlimit -run 'MakeRoomFirst'
try "a refused body is not read on" node/connlimit/http.go \
  'if b.conn.isRefused() {' 'if false {' ./node/connlimit -run 'StaysRefused'
try "a refused body is told to its caller" node/gate/body.go \
  '&& q.g.deps.BodyRefused(q.r.Context()):' '&& false:' ./node/gate -run 'RefusedBodyIsNotRun'
try "an unfounded promise is withheld, large or small" node/gate/attempt.go \
  'if !q.mayForwardStatus(resp.Status) {' 'if resp.Length <= maxBufferedBytes && !q.mayForwardStatus(resp.Status) {' ./node/gate -run 'APromiseThat'
try "streams that may be resumed promise nothing either" node/gate/attempt.go \
  'return q.route.Repeatable() || ' 'return q.mayRunAgain() || ' ./node/gate -run 'APromiseThat'
try "a service's unfounded promise is withheld" node/dispatch/attempt.go \
  'return a.statusError(resp.Status)' 'return nil' ./node/dispatch -run 'APromiseThat'
try "a kept answer's unfounded promise is withheld" node/dispatch/recover.go \
  'if err := a.statusError(f.Status); err != nil {' 'if err := a.statusError(f.Status); err != nil && false {' ./node/dispatch -run 'APromiseThat'
try "a stored answer's unfounded promise is withheld" node/dispatch/output.go \
  'if outcome.PromisesNotRun(a.Status) {' 'if outcome.PromisesNotRun(a.Status) && false {' ./node/dispatch -run 'APromiseThat'
try "a status below 100 is no answer" node/answerhead/answerhead.go \
  'status >= minStatus && ' '' ./node/upstream/conn -run 'MalformedHead'
try "nobody switches the protocol" node/answerhead/answerhead.go \
  ' && status != http.StatusSwitchingProtocols' '' ./node/upstream/conn -run 'MalformedHead'
try "a field's name is a token" node/answerhead/answerhead.go \
  'if !found || !isToken(name) {' 'if !found {' ./node/upstream/conn -run 'MalformedHead'
try "one end of a body" node/answerhead/answerhead.go \
  'c.hasCoding && (c.hasLength || c.oldServer)' 'false' ./node/upstream/conn -run 'MalformedHead'
try "a malformed line is not read on" node/upstream/conn/head.go \
  'end, err := head.Line(seen[length : length+n])
			if err != nil {' 'end, err := head.Line(seen[length : length+n])
			if err != nil && end {' ./node/upstream/conn -run 'MalformedLine'
try "trailers are checked" node/upstream/conn/head.go \
  'checkTrailers(resp)
			' '' ./node/upstream/conn -run 'MalformedTrailers'
try "the table service's heads are checked" node/store/rest/client.go \
  'err := answerhead.CheckParsed(resp); err != nil' 'err := answerhead.CheckParsed(resp); err != nil && false' ./node/store/rest -run 'MalformedHead'
try "an answer without an end is whole if its request was written" node/upstream/conn/upload.go \
  'case r.upload.err != nil:' 'case false:' ./node/upstream/conn -run 'IsWrittenIsNotWhole'
try "an answer without an end is whole if its request has arrived" node/upstream/conn/upload.go \
  'case !awaitDelivery(r.conn.nc, late):' 'case false:' ./node/upstream/conn -run 'IsWrittenIsNotWhole'
try "the end of an answer waits for its request" node/upstream/conn/client.go \
  'if answer.Framing == ByConnection {' 'if false {' ./node/gate -run 'CutEarlyAnswer'
try "a request is written to its end behind its answer" node/upstream/conn/client.go \
  'if attached && r.Upload() == UploadGoesOn {' 'if false {' ./node/upstream/conn -run 'BehindItsAnswer'
try "a request behind its answer has a deadline" node/upstream/conn/upload.go \
  '_ = r.conn.nc.SetWriteDeadline(until)' '_ = until' ./node/upstream/conn -run 'BehindItsAnswer'
try "a body that is written on is accounted for" node/gate/end.go \
  'if resp.Upload() == conn.UploadGoesOn {' 'if false {' ./node/gate -run 'WrittenOn'
try "a stop waits for uploads" node/host/stop.go \
  'h.drainStep()+h.deps.Client.Uploads() > 0' 'h.drainStep() > 0' ./platform -run 'CutsOffNoUpload'
try "a target is written as it is" node/upstream/conn/target.go \
  'if r.Target == "" {' 'if true {' ./node/gate -run 'RouteIsThat'
try "a target does not end its line" node/upstream/conn/target.go \
  "if b <= ' ' || b == 0x7f {" "if b <= ' ' && b > ' ' {" ./node/upstream/conn -run 'TargetWithBlanks'
try "a restarted holder waits as its former process had to" node/coordinator/handover.go \
  'case t.PreviousSettled && c.succeedsItself(t):' 'case c.succeedsItself(t):' ./node/coordinator -run 'RestartedHoldersNeverOverlap'
try "a holder is settled when no upstream is to be waited for" node/coordinator/handover.go \
  'if !o.own && now.Before(o.at.Add(c.cfg.QuietPeriod)) {
			return false' 'if !o.own && now.Before(o.at) {
			return false' ./node/coordinator -run 'RestartedHolder'
try "a restarted holder does not know its former process's orders" node/coordinator/handover.go \
  'c.ordersKnownFrom = now.Add(c.cfg.QuietPeriod) //' 'c.ordersKnownFrom = now //' ./node/coordinator -run 'RestartedHolder'
try "a renewal tells that its holder is settled" node/lease/lease.go \
  'Value: heartbeat(l.deps.Settled(held.Record.Epoch))}}})' '}}})' ./node/lease -run 'WasSettled'
try "only a former process of the host counts as settled" node/lease/lease.go \
  'is.settled && l.hasTerminated(is.record.Holder)' 'is.settled' ./node/lease -run 'WasSettled'
try "answers in memory are bounded in sum" node/bytebudget/bytebudget.go \
  'if !b.budget.Reserve(size) {' 'if !b.budget.Reserve(size) && false {' ./node/bytebudget -run 'NeverTakeMore|SmallBody'
try "what is written of an answer is given back" node/bytebudget/bytebudget.go \
  'b.budget.Release(size)' '' ./node/bytebudget -run 'NeverTakeMore'
try "a host bounds the answers that wait" node/host/host.go \
  'ResponseMemory: h.newResponseMemory(), ' '' ./platform -run 'TestSlowReaders'
exit $missed
