package placement

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// microsecondsUntil returns the time from now until t in microseconds: at least 1,
// or 0 for the zero time.
func microsecondsUntil(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, t.Sub(now).Microseconds())
}

// timeFromNow returns the time us microseconds after now, or the zero time for 0.
func timeFromNow(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(us) * time.Microsecond)
}

// toProto converts the request to a message to the dispatcher of a domain.
func (r Request) toProto(domain ident.DomainID, now time.Time) *PlaceRequest {
	avoid := make([]string, 0, len(r.Avoid))
	for _, a := range r.Avoid {
		avoid = append(avoid, string(a))
	}
	return &PlaceRequest{
		Domain: string(domain), Model: string(r.Model),
		Id: string(r.ID), Attempt: int32(r.Attempt), Organisation: string(r.Organisation),
		PromptTokens: int64(r.PromptTokens), MaxTokens: int64(r.MaxTokens), PrefixHashes: r.PrefixHashes,
		FirstTokenUs: microsecondsUntil(r.FirstTokenDeadline, now), DeadlineUs: microsecondsUntil(r.Deadline, now),
		Priority: int32(r.Priority), Avoid: avoid, Forwarded: r.Forwarded,
	}
}

// requestFromProto converts a message to a request and validates it.
func requestFromProto(m *PlaceRequest, now time.Time) (Request, error) {
	r := Request{
		ID: ident.RequestID(m.GetId()), Attempt: int(m.GetAttempt()),
		Organisation: ident.OrganisationID(m.GetOrganisation()), Model: ident.ModelID(m.GetModel()),
		PromptTokens: ident.Tokens(m.GetPromptTokens()), MaxTokens: ident.Tokens(m.GetMaxTokens()),
		PrefixHashes:       m.GetPrefixHashes(),
		FirstTokenDeadline: timeFromNow(m.GetFirstTokenUs(), now), Deadline: timeFromNow(m.GetDeadlineUs(), now),
		Priority: text.Priority(m.GetPriority()), Forwarded: m.GetForwarded(),
	}
	for _, a := range m.GetAvoid() {
		r.Avoid = append(r.Avoid, ident.EndpointID(a))
	}
	return r, r.check()
}

// toProto converts the record to a message.
func (h LeaseRecord) toProto(now time.Time) *HeldLease {
	return &HeldLease{
		Lease: string(h.Lease), Organisation: string(h.Organisation),
		Prefill: string(h.Prefill), Decode: string(h.Decode),
		PromptTokens: int64(h.PromptTokens), MaxTokens: int64(h.MaxTokens),
		Phase: int32(h.Phase), DeadlineUs: microsecondsUntil(h.Deadline, now),
	}
}

// leaseFromProto converts a message from the holder of a lease to a record.
func leaseFromProto(m *HeldLease, holder ident.InstanceID, now time.Time) LeaseRecord {
	return LeaseRecord{
		Lease: LeaseID(m.GetLease()), Holder: holder, Organisation: ident.OrganisationID(m.GetOrganisation()),
		Prefill: ident.EndpointID(m.GetPrefill()), Decode: ident.EndpointID(m.GetDecode()),
		PromptTokens: ident.Tokens(m.GetPromptTokens()), MaxTokens: ident.Tokens(m.GetMaxTokens()),
		Phase: Phase(m.GetPhase()), Deadline: timeFromNow(m.GetDeadlineUs(), now),
	}
}
