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

// admissionLog writes one line for each admission and each settlement, for a
// check over all processes. A nil log writes nothing.
type admissionLog struct {
	instance  ident.InstanceID
	monotonic int64 // Of the machine when the clock was made, in nanoseconds.

	mu  sync.Mutex
	out io.WriteCloser
}

// openAdmissionLog opens the log at path, to append to it.
func openAdmissionLog(path string, instance ident.InstanceID, clock *Clock) (*admissionLog, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadSettings, "cannot open the admission log %s", path)
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot read the monotonic clock")
	}
	start := ts.Nano() - int64(clock.Now().Mint)
	return &admissionLog{instance: instance, monotonic: start, out: file}, nil
}

// admitted logs a charge.
func (l *admissionLog) admitted(now Moment, org ident.OrganisationID, id uint64, cost ident.Tokens) {
	l.write(now, audit.Line{Organisation: org, Reservation: id, Charged: cost})
}

// settled logs what a reservation used.
func (l *admissionLog) settled(now Moment, org ident.OrganisationID, id uint64, charged, used ident.Tokens) {
	l.write(now, audit.Line{Organisation: org, Reservation: id, Charged: charged, Settled: true, Used: used})
}

// write appends one line. It is in the file when write returns, so that a
// process that is killed later has logged all that it admitted.
func (l *admissionLog) write(now Moment, line audit.Line) {
	if l == nil {
		return
	}
	line.Instance = l.instance
	line.Wall = now.Wall.Round(0).Format(time.RFC3339Nano)
	line.MonotonicNs = l.monotonic + int64(now.Mint)
	raw, err := json.Marshal(line)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.out.Write(append(raw, '\n'))
}

// close closes the log.
func (l *admissionLog) close() error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Close()
}
