package engineload

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// collector adds up the loads that are reported to this instance: those of the members of its
// domain, and the totals of the other domains.
type collector struct {
	now func() time.Time

	mu       sync.Mutex
	resets   int               // Number of resets.
	sequence int64             // Number of changes of the sums.
	index    map[engineKey]int // Positions in sums.
	sums     []engineSum
	members  map[ident.InstanceID]*source // Members of this domain.
	domains  map[ident.DomainID]*source   // Other domains.
}

// engineSum holds the sums of one engine.
type engineSum struct {
	key             engineKey
	all, domain     values // Of all sources, and of the members of this domain.
	allChanged      int64  // Sequence of the last change of all.
	inDomainChanged int64  // Sequence of the last change of domain.
}

// source holds what a member or another domain has reported.
type source struct {
	from       ident.InstanceID
	isMember   bool
	validUntil time.Time
	loads      map[int]values // By position in sums.
	replies    int64          // Number of replies.
	sweep      sweep          // What the replies have contained.
}

// newCollector returns a collector without any source.
func newCollector(now func() time.Time) *collector {
	c := &collector{now: now}
	c.reset()
	return c
}

// reset forgets everything. All sources are asked to send their loads again. The caller must
// hold mu.
func (c *collector) reset() {
	c.resets++
	c.index, c.sums = make(map[engineKey]int), nil
	c.members, c.domains = make(map[ident.InstanceID]*source), make(map[ident.DomainID]*source)
}

// resetCount returns the number of resets so far.
func (c *collector) resetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resets
}

// recordMember records a report of a member, and returns the number of the reply and the changes
// of the load of all other instances. ok is false if the earlier reports are missing.
func (c *collector) recordMember(from ident.InstanceID, received int64, list []engineValues) (sequence int64, others []engineValues, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepare(list)
	src := c.members[from]
	if src == nil {
		src = &source{from: from, isMember: true}
	}
	if !c.record(src, received, list, reportTTL) {
		return 0, nil, false
	}
	c.members[from] = src
	return src.replies, c.changes(&src.sweep, func(i int) (values, int64) {
		return c.sums[i].all.minus(src.loads[i]), c.sums[i].allChanged
	}), true
}

// recordDomain records the total of another domain, and returns the number of the reply. ok is
// false if the earlier messages are missing.
func (c *collector) recordDomain(from ident.InstanceID, domain ident.DomainID, received int64, list []engineValues) (sequence int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepare(list)
	src := c.domains[domain]
	if src != nil && src.from != from && received == 0 { // The domain has another collector.
		c.drop(src)
		src = nil
	}
	if src == nil {
		src = &source{from: from}
	}
	if src.from != from || !c.record(src, received, list, exchangeTTL) {
		return 0, false
	}
	c.domains[domain] = src
	return src.replies, true
}

// domainChanges returns the changes of the load of this domain since those that the sweep has
// returned before.
func (c *collector) domainChanges(s *sweep) []engineValues {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired()
	return c.changes(s, func(i int) (values, int64) { return c.sums[i].domain, c.sums[i].inDomainChanged })
}

// prepare drops expired sources, and makes room for the engines of a message. The caller must
// hold mu.
func (c *collector) prepare(list []engineValues) {
	c.dropExpired()
	if len(c.sums)+len(list) > maxEngines {
		c.reset()
	}
}

// record records the changes of a source. It returns false if they do not follow the last reply to
// the source. The caller must hold mu.
func (c *collector) record(src *source, received int64, list []engineValues, ttl time.Duration) bool {
	if received != 0 && received != src.replies {
		return false
	}
	if received == 0 {
		c.drop(src)
		src.loads, src.sweep = make(map[int]values), sweep{}
	}
	for _, e := range list {
		c.set(src, c.position(e.key), e.values)
	}
	src.replies++
	src.validUntil = c.now().Add(ttl)
	return true
}

// position returns the position of an engine in sums. The caller must hold mu.
func (c *collector) position(key engineKey) int {
	i, ok := c.index[key]
	if !ok {
		i = len(c.sums)
		c.index[key] = i
		c.sums = append(c.sums, engineSum{key: key})
	}
	return i
}

// set sets the load of a source at an engine. The caller must hold mu.
func (c *collector) set(src *source, i int, v values) {
	sum := &c.sums[i]
	difference := v.minus(src.loads[i])
	if difference == (values{}) {
		return
	}
	c.sequence++
	sum.all, sum.allChanged = sum.all.plus(difference), c.sequence
	if src.isMember {
		sum.domain, sum.inDomainChanged = sum.domain.plus(difference), c.sequence
	}
	if v == (values{}) {
		delete(src.loads, i)
	} else {
		src.loads[i] = v
	}
}

// drop removes the loads of a source from the sums. The caller must hold mu.
func (c *collector) drop(src *source) {
	for i := range src.loads {
		c.set(src, i, values{})
	}
}

// dropExpired drops the sources whose last report has expired. The caller must hold mu.
func (c *collector) dropExpired() {
	now := c.now()
	for id, src := range c.members {
		if !now.Before(src.validUntil) {
			c.drop(src)
			delete(c.members, id)
		}
	}
	for domain, src := range c.domains {
		if !now.Before(src.validUntil) {
			c.drop(src)
			delete(c.domains, domain)
		}
	}
}
