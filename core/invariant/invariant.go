// Package invariant checks invariants in the running program. A violation is counted and
// logged, and ends the process when tests ask for that.
package invariant

import (
	"os"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
)

// FatalEnv is the environment variable that makes every violation end the
// process. Tests set it to "1".
const FatalEnv = "MONSOONFORK_FATAL_INVARIANTS"

// exitCode is the exit status of a process that ends because of a violation.
const exitCode = 70

var (
	violations atomic.Int64
	fatal      = os.Getenv(FatalEnv) == "1"
	counter    = metrics.GetOrRegisterCounter("Invariant.Violations", metrics.DefaultRegistry)
	exit       = os.Exit
)

// Check counts and logs a violation of the named invariant if ok is false, and returns ok.
// keyvals are further fields of the log line, which describe the state.
func Check(logger log.Logger, name string, ok bool, keyvals ...any) bool {
	if ok {
		return true
	}
	violations.Add(1)
	counter.Inc(1)
	fields := append([]any{"msg", event.InvariantViolated, "invariant", name}, keyvals...)
	_ = level.Error(logger).Log(fields...)
	if fatal {
		exit(exitCode)
	}
	return false
}

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Load() }
