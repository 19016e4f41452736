package forward

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/loglimit"
)

// refusalKey identifies refusals that are counted together.
type refusalKey struct {
	kind         fault.Kind
	organisation ident.OrganisationID
	route        string
}

// newRefusalLog returns the limit of the log lines about refusals with the same key.
func newRefusalLog(logger log.Logger) *loglimit.Limit[refusalKey] {
	return loglimit.New(func(k refusalKey, count int) {
		_ = level.Info(logger).Log("msg", event.RefusalsSuppressed, "kind", k.kind, "organisation", k.organisation,
			"route", k.route, "count", count, "window_ms", loglimit.Window.Milliseconds())
	})
}
