// Package ratelog compares what instances have admitted and refused, as their log lines tell, with
// one exact token bucket for each organisation.
package ratelog

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Try is a request that was admitted, or refused for its organisation's rate.
type Try struct {
	At           time.Time // When it was decided.
	Organisation ident.OrganisationID
	Cost         ident.Tokens
	Refused      bool
	Limit        Limit // Named by a refusal; zero otherwise.
}

// Limit is the rate limit of an organisation.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// namedLimit matches the limit in the error of a refusal.
var namedLimit = regexp.MustCompile(`above its rate of (\d+) a second with a burst of (\d+)`)

// Read returns the tries in the log lines of instances, in the order of the lines. What stands
// before the level of a line is passed over. plainCost is the cost of a request without a prompt.
func Read(r io.Reader, plainCost ident.Tokens) ([]Try, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var tries []Try
	for n := 1; scanner.Scan(); n++ {
		start := strings.Index(scanner.Text(), "level=")
		if start < 0 {
			continue
		}
		t, ok, err := readLine(scanner.Text()[start:], plainCost)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if ok {
			tries = append(tries, t)
		}
	}
	return tries, scanner.Err()
}

// readLine returns the try that a line is about, if it is about one.
func readLine(line string, plainCost ident.Tokens) (t Try, ok bool, err error) {
	fields := make(map[string]string)
	d := logfmt.NewDecoder(strings.NewReader(line))
	d.ScanRecord()
	for d.ScanKeyval() {
		fields[string(d.Key())] = string(d.Value())
	}
	if err := d.Err(); err != nil {
		return Try{}, false, err
	}
	refused := fields["msg"] == event.Refused.String() && fields["kind"] == fault.RateExceeded.String()
	if !refused && !admitted(fields) || fields["organisation"] == "" {
		return Try{}, false, nil
	}
	at, err := time.Parse(time.RFC3339Nano, fields["ts"])
	if err != nil {
		return Try{}, false, err
	}
	took, err := numberIn(fields, "took_ms")
	if err != nil {
		return Try{}, false, err
	}
	t = Try{
		At:           at.Add(-time.Duration(took) * time.Millisecond),
		Organisation: ident.OrganisationID(fields["organisation"]),
		Refused:      refused,
	}
	if t.Cost, err = costOf(fields, plainCost); err != nil {
		return Try{}, false, err
	}
	if m := namedLimit.FindStringSubmatch(fields["err"]); refused && m != nil {
		t.Limit, err = limitOf(m[1], m[2])
	}
	return t, err == nil, err
}

// admitted reports whether a request kept the tokens that it was charged with: it was answered, or
// may have run.
func admitted(fields map[string]string) bool {
	switch fields["msg"] {
	case event.Answered.String():
		return true
	case event.Failed.String():
		return fields["ran"] != fault.NotRun.String()
	default:
		return false
	}
}

// costOf returns what a request is charged with.
func costOf(fields map[string]string, plainCost ident.Tokens) (ident.Tokens, error) {
	prompt, err := numberIn(fields, "prompt")
	if err != nil || prompt == 0 {
		return plainCost, err
	}
	output, err := numberIn(fields, "output")
	return ident.Tokens(prompt + output), err
}

// numberIn returns a number in a line.
func numberIn(fields map[string]string, name string) (int64, error) {
	n, err := strconv.ParseInt(fields[name], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s: %w", name, err)
	}
	return n, nil
}

// limitOf returns the limit that a refusal names.
func limitOf(rate, burst string) (Limit, error) {
	r, err := strconv.ParseInt(rate, 10, 64)
	if err != nil {
		return Limit{}, err
	}
	b, err := strconv.ParseInt(burst, 10, 64)
	return Limit{Rate: ident.TokensPerSecond(r), Burst: ident.Tokens(b)}, err
}
