package budget

import (
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// admissionLog writes one JSON line for each admission and each settlement.
// Package audit checks the lines of all processes against the limits. A nil
// log writes nothing.
type admissionLog struct {
	instance     ident.InstanceID
	clockStartNs int64 // Reading of the machine's monotonic clock at the start of the Budget's Clock, in nanoseconds.

	mu  sync.Mutex
	out io.WriteCloser
}

// openAdmissionLog opens the file at path for appending, and creates it if
// needed.
func openAdmissionLog(path string, instance ident.InstanceID, clock *Clock) (*admissionLog, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot open the admission log %s", path)
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot read the monotonic clock")
	}
	clockStart := ts.Nano() - int64(clock.Now().MintTime)
	return &admissionLog{instance: instance, clockStartNs: clockStart, out: file}, nil
}

// logAdmission writes the charge of a new reservation.
func (l *admissionLog) logAdmission(now ClockReading, org ident.OrganisationID, id uint64, cost ident.Tokens) {
	l.write(now, audit.Record{Organisation: org, Reservation: id, Charged: cost})
}

// logSettlement writes the tokens that a reservation used.
func (l *admissionLog) logSettlement(now ClockReading, org ident.OrganisationID, id uint64, charged, used ident.Tokens) {
	l.write(now, audit.Record{Organisation: org, Reservation: id, Charged: charged, Settled: true, Used: used})
}

// write appends one line. The line has been passed to the kernel when write
// returns, so that a process that is killed later has logged every admission.
func (l *admissionLog) write(now ClockReading, record audit.Record) {
	if l == nil {
		return
	}
	record.Instance = l.instance
	record.Wall = now.Wall.Round(0).Format(time.RFC3339Nano)
	record.MonotonicNs = l.clockStartNs + int64(now.MintTime)
	raw, err := json.Marshal(record)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.out.Write(append(raw, '\n'))
}

func (l *admissionLog) close() error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Close()
}
