package rates

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
)

// Limits of the load generator.
const (
	requestTimeout = 2 * time.Second
	maxDials       = 4 // Instances tried per request when connections fail.
	maxIdle        = 64
)

// caller generates the load: it sends requests of the organisations to random
// instances in use and records them.
type caller struct {
	fleet  *fleet.Fleet
	client *http.Client

	mu               sync.Mutex
	random           *rand.Rand
	requests         []audit.Request
	refusalLatencies []time.Duration // Latencies of refused requests.
}

// newCaller returns a caller without recorded requests.
func newCaller(f *fleet.Fleet, seed uint64) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	return &caller{
		fleet:  f,
		client: &http.Client{Transport: transport, Timeout: requestTimeout},
		random: rand.New(rand.NewPCG(seed, 21)),
	}
}

// run sends the requests of all organisations until ctx ends, and waits for the
// open ones.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	var work sync.WaitGroup
	for _, o := range organisations() {
		perSecond := rateFactors()[o.Name] * float64(o.Rate) / float64(costOf(o.Name))
		work.Go(func() { c.send(ctx, &work, o.Name, perSecond) })
	}
	work.Wait()
}

// send sends the requests of one organisation as a Poisson process of the given
// rate.
func (c *caller) send(ctx context.Context, work *sync.WaitGroup, org ident.OrganisationID, perSecond float64) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(c.exponential() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		work.Go(func() { c.recordRequest(org) })
	}
}

// exponential draws from the exponential distribution with mean 1.
func (c *caller) exponential() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.ExpFloat64()
}

// pickInstance returns the address of a random instance in use.
func (c *caller) pickInstance() (string, error) {
	addresses := c.fleet.InUse()
	if len(addresses) == 0 {
		return "", errors.New("no instance is in use")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return addresses[c.random.IntN(len(addresses))], nil
}

// recordRequest sends one request and records its start time and outcome.
func (c *caller) recordRequest(org ident.OrganisationID) {
	line := audit.Request{Organisation: org, Cost: costOf(org), MonotonicNs: monotonicNow()}
	line.Outcome = c.sendRequest(org)
	latency := time.Duration(monotonicNow() - line.MonotonicNs)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, line)
	if line.Outcome == audit.Refused {
		c.refusalLatencies = append(c.refusalLatencies, latency)
	}
}

// sendRequest sends one request. Like a load balancer, it tries another instance
// if the connection to one fails.
func (c *caller) sendRequest(org ident.OrganisationID) audit.Outcome {
	for range maxDials {
		address, err := c.pickInstance()
		if err != nil {
			return audit.Failed
		}
		status, err := c.get(address, org)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			continue
		}
		switch {
		case err == nil && status == http.StatusOK:
			return audit.Admitted
		case err == nil && status == http.StatusTooManyRequests:
			return audit.Refused
		default:
			return audit.Failed
		}
	}
	return audit.Failed
}

// get sends one request and returns the status of the response.
func (c *caller) get(address string, org ident.OrganisationID) (status int, err error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+pathOf(org), nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.fleet.Keys[org])
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// monotonicNow reads CLOCK_MONOTONIC, which the admission logs use as well.
func monotonicNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano()
}
