package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/keys"
	"monsoonfork/core/strictyaml"
	"monsoonfork/core/text"
)

// livez always responds with status 200, which shows that the process serves
// requests.
func (s *server) livez(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

// readyz reports whether the balancer should send new connections to the instance.
func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.node.Ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, err.Error()+"\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// metrics writes all metrics as JSON.
func (s *server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	gometrics.WriteJSONOnce(s.node.Metrics, w)
}

// dump writes the state of all roles as JSON.
func (s *server) dump(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.node.Dump())
}

// status writes the status of this instance, which includes the revision in force
// at each instance.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	answer := Status{
		Instance:   s.node.ID,
		Domain:     s.node.Settings.Domain,
		Started:    s.node.Started,
		Ready:      true,
		Config:     s.relay.CollectStatus(context.WithoutCancel(r.Context())),
		Keys:       s.keyStatus(),
		Orders:     s.orders.Status(),
		Violations: invariant.Violations(),
	}
	if err := s.node.Ready(); err != nil {
		answer.Ready, answer.NotReadyReason = false, err.Error()
	}
	s.writeJSON(w, http.StatusOK, answer)
}

// keyStatus returns whether this instance accepts API keys now. With the policy
// RefuseKeyed, it refuses requests with an API key if the store has not confirmed
// the newest revision within keys.CutOffGrace.
func (s *server) keyStatus() KeyStatus {
	k := KeyStatus{SinceConfirmedMS: -1}
	if at := s.relay.LastConfirmed(); !at.IsZero() {
		k.SinceConfirmedMS = s.node.Now().Sub(at).Milliseconds()
	}
	if c := s.holder.Current(); c != nil {
		k.CutOffKeys = c.Text.Policy.CutOffKeys
	}
	late := k.SinceConfirmedMS < 0 || k.SinceConfirmedMS > keys.CutOffGrace.Milliseconds()
	k.RefusesKeyedRequests = k.CutOffKeys == text.RefuseKeyed && late
	return k
}

// text writes the configuration text in force at this instance, as the operator
// wrote it.
func (s *server) text(w http.ResponseWriter, _ *http.Request) {
	c := s.holder.Current()
	if c == nil {
		s.writeError(w, fault.New(fault.NotFound, "there is no text yet"))
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set(RevisionHeader, strconv.FormatInt(int64(c.Revision), 10))
	_, _ = w.Write(c.Raw)
}

// plan writes the changes that a configuration text would make, or its problems.
func (s *server) plan(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	answer := Plan{}
	var current *text.Text
	if c := s.holder.Current(); c != nil {
		answer.Revision, current = c.Revision, c.Text
	}
	parsed, problems := text.Parse(raw)
	answer.Problems = problems
	if len(problems) == 0 {
		answer.Changes = text.Changes(current, parsed)
	}
	s.writeJSON(w, http.StatusOK, answer)
}

// apply makes a configuration text the next revision.
func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	query := r.URL.Query()
	base, err := strconv.ParseInt(query.Get("base"), 10, 64)
	if err != nil || base < 0 {
		s.writeError(w, fault.New(fault.BadRequest, "base %q is not a revision", query.Get("base")))
		return
	}
	// The edit continues if the operator disconnects. A call with the same edit id
	// returns its outcome.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), applyTimeout)
	defer cancel()
	accepted, err := s.applier.Apply(ctx, raw, ident.Revision(base), query.Get("edit"))
	if err != nil {
		_ = level.Info(s.log).Log("msg", event.EditNotAccepted, "edit", query.Get("edit"), "kind", fault.KindOf(err))
		s.writeError(w, err)
		return
	}
	_ = level.Info(s.log).Log("msg", event.EditAccepted, "edit", accepted.EditID, "revision", accepted.Revision)
	s.writeJSON(w, http.StatusOK, accepted)
}

// faults cuts the links between this instance and other domains, for tests.
func (s *server) faults(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	var f LinkFaults
	if err := json.Unmarshal(raw, &f); err != nil {
		s.writeError(w, fault.Wrap(err, fault.BadRequest, "malformed faults"))
		return
	}
	s.links.Partition().Cut(f.CutDomains...)
	s.writeJSON(w, http.StatusOK, f)
}

// notFound responds to calls that do not exist.
func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, fault.New(fault.NotFound, "no call %s %s", r.Method, r.URL.Path))
}

// readBody reads a request body of at most maxBodyBytes.
func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, fault.Wrap(err, fault.RequestTimeout, "the complete body did not arrive within %v", bodyTimeout)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "cannot read the body")
	}
	if len(raw) > maxBodyBytes {
		return nil, fault.New(fault.RequestTooLarge, "the body is larger than %d bytes", maxBodyBytes)
	}
	return raw, nil
}

// writeError writes an error as a response.
func (s *server) writeError(w http.ResponseWriter, err error) {
	e := fault.From(err)
	answer := ErrorResponse{Kind: e.Kind.String(), Ran: e.Ran.String(), Message: e.Message}
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		answer.Problems = problems
	}
	if !e.RetryAfter.IsZero() {
		answer.RetryAfterMS = max(1, time.Until(e.RetryAfter).Milliseconds())
	}
	s.writeJSON(w, fault.ResponseFor(e.Kind).Status, answer)
}

// writeJSON writes a response with a JSON body.
func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		_ = level.Error(s.log).Log("msg", event.AnswerEncodingFailed, "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}
