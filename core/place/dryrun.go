package place

import (
	"strconv"
	"time"

	"peridotpier.example/core/config"
	"peridotpier.example/core/ledger"
)

// maxRounds bounds the number of plans of a dry run; one that has not converged by
// then reports so.
const maxRounds = 500

// Forecast is the effect that a switch to another preset would have.
type Forecast struct {
	Moves     []Move
	Bound     time.Duration // on the time until the last of the moves is done
	Converged bool          // whether the plans came to an end; if not, there are more moves
}

// DryRun returns the moves that a preset would cause at the demand of the
// snapshot. It plans repeatedly on a copy in which each move takes effect at once.
func DryRun(s *Snapshot, preset config.Preset, now time.Time) Forecast {
	next := *s
	next.Preset, next.LoadsInProgress = preset, 0
	next.Upstreams = append([]Upstream(nil), s.Upstreams...)
	next.LastMove = map[Key]time.Time{}
	for key := range s.LastMove {
		next.LastMove[key] = time.Time{} // moved before, and cooled down by then
	}
	var f Forecast
	for round := range maxRounds {
		next.Budget = maxElectiveMoves
		at := now.Add(time.Duration(round+1) * (s.Bounds.SendWindow + s.Bounds.MaxInFlight + s.Bounds.MaxReportAge + s.Bounds.MaxClockSkew))
		decision := Plan(&next, at)
		if len(decision.Moves) == 0 {
			f.Converged = true
			break
		}
		f.Moves = append(f.Moves, decision.Moves...)
		for k, m := range decision.Moves {
			next.applyMove(m, at, strconv.Itoa(round)+"."+strconv.Itoa(k))
		}
	}
	f.Bound = f.bound(s, preset)
	return f
}

// applyMove applies a move to the snapshot as if it were done and confirmed.
func (s *Snapshot) applyMove(m Move, at time.Time, op string) {
	for i := range s.Upstreams {
		if s.Upstreams[i].Name != m.Upstream {
			continue
		}
		u := &s.Upstreams[i]
		row, c, err := u.Row.Reserve(at, s.Bounds, u.Row.Epoch, op, m.Change)
		if err != nil {
			return
		}
		residents := row.Residents[:0:0]
		for _, r := range row.Residents {
			if r.Artifact != m.Change.Artifact {
				residents = append(residents, r)
			}
		}
		if m.Change.Kind == ledger.Load {
			residents = append(residents, ledger.Resident{Artifact: m.Change.Artifact, State: ledger.Ready, MemoryMB: m.Change.MemoryMB})
		}
		used := row.OverheadMB
		for _, r := range residents {
			used += r.MemoryMB
		}
		seq := row.LastReports[len(row.LastReports)-1].Sequence + 1
		u.Row, _ = row.Observe(s.Bounds, ledger.Report{Incarnation: row.Incarnation(), Sequence: seq,
			Epoch: c.Fence + 1, UsedMB: used, Residents: residents, Read: c.Until})
	}
}

// bound returns the sum of the time for elective loads at the rate of the preset,
// the time for all loads at the rate of the weight store, one load while the store
// is fully used, and the time to confirm the unloads that must precede a load.
func (f Forecast) bound(s *Snapshot, preset config.Preset) time.Duration {
	loads, elective, largest, unloads := 0.0, 0.0, 0, 0
	for _, m := range f.Moves {
		if m.Change.Kind == ledger.Unload {
			unloads++
			continue
		}
		loads++
		largest = max(largest, m.Change.MemoryMB)
		if m.Reason.Elective() {
			elective++
		}
	}
	seconds := 0.0
	if preset.MovesPerMinute > 0 {
		seconds += elective / preset.MovesPerMinute * 60
	}
	if s.Store.LoadsPerSecond > 0 {
		seconds += loads / s.Store.LoadsPerSecond
	}
	if s.Store.MBPerSecond > 0 {
		seconds += float64(largest*max(s.Store.Concurrent, 1)) / float64(s.Store.MBPerSecond)
	}
	total := time.Duration(seconds * float64(time.Second))
	if len(f.Moves) > 0 {
		total += s.Bounds.SendWindow + s.Bounds.MaxReportAge
	}
	if unloads > 0 {
		total += s.Bounds.SendWindow + s.Bounds.MaxInFlight + s.Bounds.MaxReportAge + s.Bounds.MaxClockSkew
	}
	return total
}
