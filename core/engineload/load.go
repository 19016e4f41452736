package engineload

import (
	"hash/fnv"
	"math"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// tokenUnit is the unit of tokens in messages. With it most values take one byte.
	tokenUnit = 256
	// logUnits is the number of units of a logarithm for a factor of 2: a unit is 4.4%.
	logUnits = 16
	// logOffset is added to a binary logarithm of milliseconds, so that it is not negative from
	// 1/64 ms on.
	logOffset = 6
	// maxValue bounds each value in a message, so that sums over instances do not overflow.
	maxValue = 1 << 20
	// maxEngines bounds the engines of one message and those that a collector knows.
	maxEngines = 8192
)

// engineKey identifies an engine in messages: a hash of its id. If two engines have the same
// one, each counts with the load of both.
type engineKey uint32

// keyOf returns the key of an engine.
func keyOf(id ident.EndpointID) engineKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return engineKey(h.Sum32())
}

// column is the position of a value in values.
type column int

// The columns of a message.
const (
	running column = iota
	memory
	prefill
	decodePaces
	decodeLog
	decodeRunning
	prefillPaces
	prefillLog

	columnCount // Number of columns; keep last.
)

// values are what one instance, or several together, have at an engine, in the units of
// messages.
type values [columnCount]int32

// plus returns the sum of two values.
func (v values) plus(w values) values {
	for c := range v {
		v[c] += w[c]
	}
	return v
}

// minus returns the difference of two values.
func (v values) minus(w values) values {
	for c := range v {
		v[c] -= w[c]
	}
	return v
}

// valuesOf returns the values of a report.
func valuesOf(r engines.Report) values {
	return values{
		running:       clamp(int64(r.Load.Running)),
		memory:        inUnits(r.Load.Memory),
		prefill:       inUnits(r.Load.Prefill),
		decodePaces:   clamp(int64(r.Decode.Instances)),
		decodeLog:     logSum(r.Decode),
		decodeRunning: clamp(int64(math.Round(r.Decode.Running))),
		prefillPaces:  clamp(int64(r.Prefill.Instances)),
		prefillLog:    logSum(r.Prefill),
	}
}

// report returns the report that the values stand for.
func (v values) report() engines.Report {
	return engines.Report{
		Load: engines.Load{
			Running: int(v[running]),
			Memory:  ident.Tokens(v[memory]) * tokenUnit,
			Prefill: ident.Tokens(v[prefill]) * tokenUnit,
		},
		Decode:  paceOf(v[decodePaces], v[decodeLog], v[decodeRunning]),
		Prefill: paceOf(v[prefillPaces], v[prefillLog], 0),
	}
}

// logSum returns the logarithms of a pace in units of messages.
func logSum(p engines.Pace) int32 {
	return clamp(int64(math.Round(logUnits * (p.LogMS + logOffset*float64(p.Instances)))))
}

// paceOf returns the pace for values of a message.
func paceOf(instances, logSum, running int32) engines.Pace {
	return engines.Pace{
		Instances: int(instances),
		LogMS:     float64(logSum)/logUnits - logOffset*float64(instances),
		Running:   float64(running),
	}
}

// inUnits returns a number of tokens in units of messages, rounded up.
func inUnits(n ident.Tokens) int32 { return clamp((int64(n) + tokenUnit - 1) / tokenUnit) }

// clamp limits a value to what messages may have.
func clamp(n int64) int32 { return int32(max(0, min(n, maxValue))) }

// engineValues are the values of one engine in a message.
type engineValues struct {
	key    engineKey
	values values
}

// columns returns the columns of a message.
func columns(m *Loads) [columnCount]*[]uint32 {
	return [columnCount]*[]uint32{
		running:       &m.Running,
		memory:        &m.Memory,
		prefill:       &m.Prefill,
		decodePaces:   &m.DecodePaces,
		decodeLog:     &m.DecodeLog,
		decodeRunning: &m.DecodeRunning,
		prefillPaces:  &m.PrefillPaces,
		prefillLog:    &m.PrefillLog,
	}
}

// message returns the message for a list of values.
func message(list []engineValues) *Loads {
	m := &Loads{}
	for _, e := range list {
		m.Engines = append(m.Engines, uint32(e.key))
	}
	for c, column := range columns(m) {
		*column = trimmed(list, c)
	}
	return m
}

// trimmed returns a column of a list without the zeros at its end.
func trimmed(list []engineValues, c int) []uint32 {
	last := len(list)
	for last > 0 && list[last-1].values[c] == 0 {
		last--
	}
	column := make([]uint32, last)
	for i := range column {
		column[i] = uint32(list[i].values[c])
	}
	return column
}

// fromMessage returns the values in a message.
func fromMessage(m *Loads) ([]engineValues, error) {
	if m == nil {
		return nil, nil
	}
	if n := len(m.Engines); n > maxEngines {
		return nil, fault.New(fault.BadRequest, "loads of %d engines are more than %d", n, maxEngines)
	}
	list := make([]engineValues, len(m.Engines))
	for i, key := range m.Engines {
		list[i].key = engineKey(key)
	}
	for c, column := range columns(m) {
		for i, value := range (*column)[:min(len(*column), len(list))] {
			list[i].values[c] = clamp(int64(value))
		}
	}
	return list, nil
}
