package service

import (
	"net/http"
	"slices"
	"time"

	"monsoonfork/io/standin/control"
)

// Run is one run of a request. It is recorded when the request takes effect, after
// its processing time.
type Run struct {
	RequestID      string `json:"RequestID"`      // Header X-Request-Id.
	IdempotencyKey string `json:"IdempotencyKey"` // Header Idempotency-Key; empty if missing.
	Reference      string `json:"Reference"`      // Reference in the body, or id in the path.
	Method         string `json:"Method"`
	Path           string `json:"Path"`
	UnixMS         int64  `json:"UnixMS"`
}

// Record holds the runs of a service.
type Record struct {
	Name        string         `json:"Name"`
	Runs        []Run          `json:"Runs"`
	ByReference map[string]int `json:"ByReference"` // Number of runs other than GET, by "METHOD reference".
	ByRequestID map[string]int `json:"ByRequestID"` // Number of runs by X-Request-Id.
	Running     int            `json:"Running"`     // Requests being processed.
}

// Record returns the runs so far, including those read from the run log.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Record{
		Name:        s.name,
		Runs:        slices.Clone(s.runs),
		ByReference: make(map[string]int),
		ByRequestID: make(map[string]int),
		Running:     s.running,
	}
	for _, run := range s.runs {
		r.ByRequestID[run.RequestID]++
		if run.Method != http.MethodGet {
			r.ByReference[run.Method+" "+run.Reference]++
		}
	}
	return r
}

// handleRecord serves GET /control/record.
func (s *Service) handleRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, s.Record())
}

// execute waits for the processing time, then calls effect under the lock and records
// the run. It continues if the client disconnects.
func (s *Service) execute(r *http.Request, reference string, effect func()) {
	s.addRunning(1)
	defer s.addRunning(-1)
	s.server.Sleep(time.Duration(float64(s.runTime) * s.server.Faults.SlowdownFactor()))
	s.mu.Lock()
	defer s.mu.Unlock()
	effect()
	run := Run{
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Reference:      reference,
		Method:         r.Method,
		Path:           r.URL.Path,
		UnixMS:         time.Now().UnixMilli(),
	}
	s.runs = append(s.runs, run)
	if err := s.runLog.append(run); err != nil {
		// A missing record could hide that a request ran twice.
		panic(err)
	}
}

// addRunning adds n to the number of requests being processed.
func (s *Service) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}
