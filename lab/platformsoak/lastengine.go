package platformsoak

import (
	"os"
	"path/filepath"
	"regexp"
)

// lastEngine returns the engine that a request was last sent to according to the log of the
// process that received it, or "" if the log does not say.
func (r *run) lastEngine(a *request) string {
	if r.testbed.runner == nil {
		return ""
	}
	log, err := os.ReadFile(filepath.Join(r.testbed.runner.Dir(), a.process+".log"))
	if err != nil {
		r.logf("no log of %s: %v", a.process, err)
		return ""
	}
	return lastEngineIn(log, a.ID)
}

// lastEngineIn returns the engine in the field last of a request's line in a log, or "".
func lastEngineIn(log []byte, id string) string {
	line := regexp.MustCompile(`(?m) request=` + regexp.QuoteMeta(id) + `(?: .*?)? last=(\S+)`)
	if match := line.FindSubmatch(log); match != nil {
		return string(match[1])
	}
	return ""
}
