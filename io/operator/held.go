package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/quarantine"
)

// HeldPart is a part of prompts that is held back from engines.
type HeldPart struct {
	Service      ident.ServiceID
	Model        ident.ModelID
	Part         ident.PartID
	Crashes      int   // Number of engines that crashed under it.
	Reporters    int   // Number of instances that reported these crashes.
	FirstCrashMS int64 // Milliseconds since the first of them.
	LastCrashMS  int64 // Milliseconds since the last of them.
	RetryInMS    int64 // Milliseconds until one request may try the part; 0 if one may now.
}

// PartName names a held part; it is the body of POST /held/free.
type PartName struct {
	Service ident.ServiceID
	Model   ident.ModelID
	Part    ident.PartID
}

// held writes the parts that are held.
func (s *server) held(w http.ResponseWriter, _ *http.Request) {
	q, err := s.quarantine()
	if err != nil {
		s.writeError(w, err)
		return
	}
	now := s.node.Now()
	list := []HeldPart{}
	for _, h := range q.Holds() {
		list = append(list, HeldPart{
			Service: h.Service, Model: h.Model, Part: h.Part, Crashes: h.Crashes, Reporters: h.Reporters,
			FirstCrashMS: now.Sub(h.FirstAt).Milliseconds(), LastCrashMS: now.Sub(h.LastAt).Milliseconds(),
			RetryInMS: max(0, h.Until.Sub(now).Milliseconds()),
		})
	}
	s.writeJSON(w, http.StatusOK, list)
}

// freePart releases a part at all instances.
func (s *server) freePart(w http.ResponseWriter, r *http.Request) {
	q, err := s.quarantine()
	if err != nil {
		s.writeError(w, err)
		return
	}
	raw, err := readBody(r)
	if err != nil {
		s.writeError(w, err)
		return
	}
	var name PartName
	if err := json.Unmarshal(raw, &name); err != nil {
		s.writeError(w, fault.Wrap(err, fault.BadRequest, "the body is not the name of a part"))
		return
	}
	if !q.Free(quarantine.Scope{Service: name.Service, Model: name.Model}, name.Part) {
		s.writeError(w, fault.New(fault.NotFound, "part %.80q of service %.80q and model %.80q is not held", name.Part, name.Service, name.Model))
		return
	}
	s.writeJSON(w, http.StatusOK, name)
}

// quarantine returns the quarantine of the process. The role that provides it starts later than
// this server, and only on the platform.
func (s *server) quarantine() (*quarantine.Quarantine, error) {
	var q *quarantine.Quarantine
	if s.node.Require(&q) != nil {
		return nil, fault.New(fault.NotFound, "this process holds no parts of prompts")
	}
	return q, nil
}

// Held returns the parts of prompts that the instance holds back from engines.
func (c *Client) Held(ctx context.Context) ([]HeldPart, error) {
	return getJSON[[]HeldPart](ctx, c, "/held")
}

// FreePart releases a part at all instances.
func (c *Client) FreePart(ctx context.Context, name PartName) error {
	raw, err := json.Marshal(name)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the name of the part")
	}
	_, _, err = c.call(ctx, http.MethodPost, "/held/free", raw)
	return err
}
