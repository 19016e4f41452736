package service

import (
	"net/http"
	"slices"
	"time"

	"monsoonfork/io/standin/control"
)

// Run is one run of a call. Runs are counted when they take effect.
type Run struct {
	RequestID      string `json:"RequestID"`      // X-Request-Id of the call.
	IdempotencyKey string `json:"IdempotencyKey"` // Empty when the call had none.
	Reference      string `json:"Reference"`      // Of the body, or the id in the path.
	Method         string `json:"Method"`
	Path           string `json:"Path"`
	UnixMS         int64  `json:"UnixMS"`
}

// Record is what the service has counted.
type Record struct {
	Name        string         `json:"Name"`
	Runs        []Run          `json:"Runs"`
	ByReference map[string]int `json:"ByReference"` // Runs of calls that change something, by method and reference.
	ByRequestID map[string]int `json:"ByRequestID"` // Runs by X-Request-Id.
	Running     int            `json:"Running"`     // Calls under way.
}

// Record returns what the service has counted so far.
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

// run takes the time of a call, then lets effect happen and counts the run.
// The run goes on when the caller is gone.
func (s *Service) run(r *http.Request, reference string, effect func()) {
	s.addRunning(1)
	defer s.addRunning(-1)
	s.server.Sleep(time.Duration(float64(s.runTime) * s.server.Faults.Slowness()))
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
	if err := s.log.add(run); err != nil {
		// A run that is not counted would hide a broken promise.
		panic(err)
	}
}

// addRunning counts the calls under way.
func (s *Service) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}
