package service

import (
	"net/http"
	"sync"
	"time"

	"peridotpier.example/node/upstream/engineapi"
)

// roleService is the role in the report of a plain service.
const roleService = "service"

// faults holds how many calls are still to fail, by kind of fault, and the share
// of mismatched answers.
type faults struct {
	mu            sync.Mutex
	loseRequests  int
	loseAnswers   int
	cutAnswers    int
	endByClose    int
	cutByClose    int
	mismatchShare float64
	raw           *RawAnswer
}

func (f *faults) consume(n *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (f *faults) set(n *int, v int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n = v
}

// LoseRequests breaks the connections of the next n calls before they run.
func (s *Service) LoseRequests(n int) { s.faults.set(&s.faults.loseRequests, n) }

// LoseAnswers breaks the connections of the next n calls after they ran.
func (s *Service) LoseAnswers(n int) { s.faults.set(&s.faults.loseAnswers, n) }

// CutAnswers breaks the connections of the next n calls in the middle of the
// answer.
func (s *Service) CutAnswers(n int) { s.faults.set(&s.faults.cutAnswers, n) }

// EndAnswersByClose sends the next n answers without a length: the end of the connection
// ends them.
func (s *Service) EndAnswersByClose(n int) { s.faults.set(&s.faults.endByClose, n) }

// CutAnswersByClose does the same, and ends them in the middle without a reset: nothing
// in the answer's framing shows that it is cut.
func (s *Service) CutAnswersByClose(n int) { s.faults.set(&s.faults.cutByClose, n) }

// RawAnswer is an answer as it goes over the wire. What the service keeps of the call is
// not changed.
type RawAnswer struct {
	ContentType string
	Body        string
	ByClose     bool // without a length: the end of the connection ends it
}

// AnswerRaw answers all calls with a; nil ends that.
func (s *Service) AnswerRaw(a *RawAnswer) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.raw = a
}

// rawAnswer returns the answer that was set with AnswerRaw; nil: none.
func (s *Service) rawAnswer() *RawAnswer {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return s.faults.raw
}

// MismatchAnswers makes a share of the answers carry the id and content of another
// call.
func (s *Service) MismatchAnswers(share float64) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.mismatchShare = share
}

// Freeze makes all accepted connections unresponsive for good. New connections
// work unless newToo is set.
func (s *Service) Freeze(newToo bool) { s.ln.Freeze(newToo) }

// Thaw lets new connections work again after Freeze(true).
func (s *Service) Thaw() { s.ln.Thaw() }

// Drain makes the service refuse new calls for the rest of its incarnation.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Restart terminates the process and starts it again.
func (s *Service) Restart() {
	s.mu.Lock()
	s.endIncarnation()
	s.reset()
	s.mu.Unlock()
	if s.ln != nil {
		s.ln.CloseConnections()
	}
}

func (s *Service) answerSource(c *call) *call {
	s.faults.mu.Lock()
	share := s.faults.mismatchShare
	s.faults.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if share == 0 || s.rng.Float64() >= share {
		return c
	}
	out := c
	s.attempts.VisitNewestFirst(func(other *call) bool {
		if other != c && other.state == engineapi.AttemptCompleted {
			out = other
		}
		return out == c
	})
	return out
}

func (s *Service) reportLoop() {
	tick := time.NewTicker(s.cfg.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.mu.Lock()
			s.addReport()
			s.mu.Unlock()
		case <-s.ctx.Done():
			return
		}
	}
}

// addReport adds a report of the current state and drops reports that can no
// longer be read. The caller holds mu.
func (s *Service) addReport() {
	s.sequence++
	s.reports = append(s.reports, engineapi.Report{Upstream: s.cfg.Name, Incarnation: s.incarnation, Sequence: s.sequence,
		TakenMs: time.Since(s.startedAt).Milliseconds(), Draining: s.draining, Role: roleService,
		Running: s.running, Waiting: s.waiting, MaxBatch: s.cfg.MaxConcurrent})
	for len(s.reports) > 1 && s.isVisible(s.reports[1]) {
		s.reports = s.reports[1:]
	}
}

func (s *Service) isVisible(r engineapi.Report) bool {
	return time.Since(s.startedAt)-time.Duration(r.TakenMs)*time.Millisecond >= s.cfg.ReportLag
}

func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if s.cfg.ReportInterval == 0 {
		s.addReport()
	}
	newest := s.reports[0]
	for _, r := range s.reports[1:] {
		if s.isVisible(r) {
			newest = r
		}
	}
	s.mu.Unlock()
	s.setHeaders(w.Header())
	writeJSON(w, http.StatusOK, newest)
}
