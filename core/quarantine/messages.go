package quarantine

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Bounds of what another instance may send.
const (
	maxNameBytes   = 256 // Service, model, engine and instance.
	maxPartBytes   = 64
	maxRecordParts = 256
	maxRecords     = 2 * maxCrashes
)

// crashMessage encodes a crash. Clocks of instances differ, so its age is sent.
func crashMessage(c Crash, now time.Time) *CrashRecord {
	parts := make([]string, len(c.Parts))
	for i, p := range c.Parts {
		parts[i] = string(p)
	}
	return &CrashRecord{
		Engine: string(c.Run.Engine), Started: c.Run.Started, Reporter: string(c.Reporter),
		Service: string(c.Service), Model: string(c.Model), Parts: parts, AgeMs: now.Sub(c.At).Milliseconds(),
	}
}

// toCrash decodes a crash. The error has kind BadRequest.
func (r *CrashRecord) toCrash(now time.Time) (Crash, error) {
	if err := checkNames(r.GetEngine(), r.GetReporter(), r.GetService()); err != nil {
		return Crash{}, err
	}
	if len(r.GetModel()) > maxNameBytes || len(r.GetParts()) == 0 || len(r.GetParts()) > maxRecordParts {
		return Crash{}, fault.New(fault.BadRequest, "the record of a crash has %d parts and a model of %d bytes", len(r.GetParts()), len(r.GetModel()))
	}
	at, err := timeOfAge(r.GetAgeMs(), now)
	if err != nil {
		return Crash{}, err
	}
	c := Crash{
		Scope:    Scope{Service: ident.ServiceID(r.GetService()), Model: ident.ModelID(r.GetModel())},
		Run:      Run{Engine: ident.EndpointID(r.GetEngine()), Started: r.GetStarted()},
		Reporter: ident.InstanceID(r.GetReporter()),
		At:       at,
	}
	for _, p := range r.GetParts() {
		if err := checkPart(p); err != nil {
			return Crash{}, err
		}
		c.Parts = append(c.Parts, ident.PartID(p))
	}
	return c, nil
}

// clearedMessage encodes a cleared part.
func clearedMessage(c clearedPart, now time.Time) *ClearedPart {
	return &ClearedPart{Service: string(c.Service), Model: string(c.Model), Part: string(c.Part), AgeMs: now.Sub(c.At).Milliseconds()}
}

// toClearedPart decodes a cleared part. The error has kind BadRequest.
func (r *ClearedPart) toClearedPart(now time.Time) (clearedPart, error) {
	if err := checkNames(r.GetService()); err != nil {
		return clearedPart{}, err
	}
	if err := checkPart(r.GetPart()); err != nil {
		return clearedPart{}, err
	}
	if len(r.GetModel()) > maxNameBytes {
		return clearedPart{}, fault.New(fault.BadRequest, "the name of a model has %d bytes", len(r.GetModel()))
	}
	at, err := timeOfAge(r.GetAgeMs(), now)
	return clearedPart{Scope{ident.ServiceID(r.GetService()), ident.ModelID(r.GetModel())}, ident.PartID(r.GetPart()), at}, err
}

// checkNames checks names of which none may be empty.
func checkNames(names ...string) error {
	for _, n := range names {
		if n == "" || len(n) > maxNameBytes {
			return fault.New(fault.BadRequest, "a name has %d bytes, not 1 to %d", len(n), maxNameBytes)
		}
	}
	return nil
}

// checkPart checks the id of a part.
func checkPart(p string) error {
	if p == "" || len(p) > maxPartBytes {
		return fault.New(fault.BadRequest, "the id of a part has %d bytes, not 1 to %d", len(p), maxPartBytes)
	}
	return nil
}

// maxAgeMS bounds ages, so that they fit a duration.
const maxAgeMS = int64(365 * 24 * time.Hour / time.Millisecond)

// timeOfAge returns the time that lies an age before now.
func timeOfAge(ageMS int64, now time.Time) (time.Time, error) {
	if ageMS < 0 || ageMS > maxAgeMS {
		return time.Time{}, fault.New(fault.BadRequest, "%d ms is not the age of a record", ageMS)
	}
	return now.Add(-time.Duration(ageMS) * time.Millisecond), nil
}
