// Command killed shows requests that run with keys which were withdrawn more than config-apply-ms
// before, at an instance that nothing has disturbed, after all others were killed at once and have
// started again.
//
//	killed RECORD
//
// With TROUBLE=0 in the environment nothing is killed. The exit status is 1 if the rule CONFIG was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"monsoonfork/review/rig"
)

const (
	service      = "planbord"
	settleTime   = 8 * time.Second // Until all instances are in touch and their roles are settled.
	observeTime  = 2500 * time.Millisecond
	restartDelay = 500 * time.Millisecond // From the kill to the start of a process.
	sendPause    = 10 * time.Millisecond
	deadline     = 600 * time.Millisecond // Of a request, as on the site's sheet.
	afterTime    = 5 * time.Second        // From the last withdrawal to the end of the case.
	maxTries     = 4
)

// zones are the zones of the instances, as in the users' smallest site.
var zones = []string{"nl-west-a", "nl-west-b", "nl-west-c", "nl-west-d", "nl-west-a", "nl-west-b", "nl-west-c"}

// withdrawals are the times of the withdrawals after the kill.
var withdrawals = []time.Duration{600 * time.Millisecond, 680 * time.Millisecond, 760 * time.Millisecond, 840 * time.Millisecond}

// withdrawal is a key that was withdrawn.
type withdrawal struct {
	key         string
	confirmedAt time.Time
}

// errNoSurvivor means that the roles fell such that the case can't be played.
var errNoSurvivor = errors.New("each instance has followed the store")

func main() {
	if len(os.Args) != 2 {
		fmt.Println("usage: killed RECORD")
		os.Exit(2)
	}
	for range maxTries {
		broken, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
		switch {
		case errors.Is(err, errNoSurvivor):
			continue
		case err != nil:
			fmt.Println("the case could not run:", err)
			os.Exit(2)
		case broken:
			os.Exit(1)
		}
		os.Exit(0)
	}
	fmt.Println("the case could not run:", errNoSurvivor)
	os.Exit(2)
}

// run plays the case and reports whether the rule was broken.
func run(record string, trouble bool) (bool, error) {
	r, err := rig.New(record)
	if err != nil {
		return false, err
	}
	defer r.Close()
	c := &play{rig: r, sent: make(map[string]sending)}
	if err := c.start(); err != nil {
		return false, err
	}
	survivor, err := c.findSurvivor()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range withdrawals {
		clients.Go(func() { c.sendUntil(stop, survivor, keyName(n)) })
	}
	time.Sleep(time.Second)
	began := time.Now()
	var restarted sync.WaitGroup
	if trouble {
		restarted.Go(func() { err = c.killOthers(survivor) })
	}
	for n, after := range withdrawals {
		time.Sleep(time.Until(began.Add(after)))
		if err := c.withdraw(n); err != nil {
			return false, err
		}
	}
	time.Sleep(afterTime)
	close(stop)
	clients.Wait()
	restarted.Wait()
	if err != nil {
		return false, err
	}
	return c.judge(survivor), nil
}

// play is the state of a case.
type play struct {
	rig       *rig.Rig
	engines   []*rig.Engine
	withdrawn []withdrawal

	mu   sync.Mutex
	sent map[string]sending // By the id of the request.
}

// sending is a request that was sent.
type sending struct {
	key string
	at  time.Time
}

// keyName returns the name of the key that is withdrawn as the nth one.
func keyName(n int) string { return fmt.Sprintf("key-%d", n+1) }

// configure writes the configuration without the first n keys.
func (c *play) configure(n int) error {
	keys := []string{"key-that-stays"}
	for k := n; k < len(withdrawals); k++ {
		keys = append(keys, keyName(k))
	}
	return c.rig.Configure(3+4*n, service, rig.Tenant{Name: "gardeners", Keys: keys})
}

// withdraw withdraws the nth key.
func (c *play) withdraw(n int) error {
	if err := c.configure(n + 1); err != nil {
		return err
	}
	c.withdrawn = append(c.withdrawn, withdrawal{keyName(n), time.Now()})
	return nil
}

// start starts the engines and the instances.
func (c *play) start() error {
	for n, zone := range zones {
		if _, err := c.rig.AddInstance(fmt.Sprintf("front-%s-%d", zone, n/4+1), zone); err != nil {
			return err
		}
	}
	for n, zone := range zones[:4] {
		e, err := c.rig.AddEngine(fmt.Sprintf("i-%d", n+1), service, zone)
		if err != nil {
			return err
		}
		c.engines = append(c.engines, e)
	}
	if err := c.configure(0); err != nil {
		return err
	}
	return c.rig.StartAll(context.Background())
}

// findSurvivor returns an instance that has never watched the store.
func (c *play) findSurvivor() (*rig.Instance, error) {
	time.Sleep(settleTime)
	before := make(map[*rig.Instance]int)
	for _, i := range c.rig.Instances() {
		before[i] = i.Watches()
	}
	time.Sleep(observeTime)
	var survivor *rig.Instance
	for _, i := range c.rig.Instances() {
		c.rig.Record.Add("roles", "instance", i.Name, "watches_now", i.Watches() > before[i], "watches", i.Watches(), "lists", i.Lists())
		if i.Watches() == 0 && i.Lists() == 0 {
			survivor = i
		}
	}
	if survivor == nil {
		return nil, errNoSurvivor
	}
	c.rig.Record.Add("is not killed", "instance", survivor.Name)
	return survivor, nil
}

// killOthers kills all instances but one at once, and starts them again.
func (c *play) killOthers(survivor *rig.Instance) error {
	var killed sync.WaitGroup
	for _, i := range c.rig.Instances() {
		if i != survivor {
			c.rig.Record.Add("killed", "instance", i.Name)
			killed.Go(func() { _ = i.Process.Kill() })
		}
	}
	killed.Wait()
	time.Sleep(restartDelay)
	for _, i := range c.rig.Instances() {
		if i == survivor {
			continue
		}
		if err := i.Start(); err != nil {
			return err
		}
	}
	return nil
}

// sendUntil sends bookings with a key to an instance until stop is closed.
func (c *play) sendUntil(stop <-chan struct{}, i *rig.Instance, key string) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sendPause):
		}
		id := fmt.Sprintf("%s-%d", key, n)
		c.mu.Lock()
		c.sent[id] = sending{key, time.Now()}
		c.mu.Unlock()
		i.Send(client, rig.Request{ID: id, Method: http.MethodPost, Path: "/book/visit", Key: key, Deadline: deadline})
	}
}

// judge counts the requests that ran with a withdrawn key and were sent later than the bound
// allows, and reports whether there are any.
func (c *play) judge(survivor *rig.Instance) bool {
	late := 0
	for _, w := range c.withdrawn {
		count, latest := 0, time.Duration(0)
		for _, e := range c.engines {
			for _, a := range e.Arrivals() {
				s := c.sent[a.Request]
				age := s.at.Sub(w.confirmedAt)
				if s.key != w.key || age <= 0 {
					continue
				}
				latest = max(latest, age)
				if age > rig.ConfigApplyTime {
					count++
				}
			}
		}
		late += count
		line := fmt.Sprintf("%s, withdrawn at %.3f s, at %s: %d requests sent later than %v ran, the last that ran was sent after %v",
			w.key, c.rig.Record.Time(w.confirmedAt), survivor.Name, count, rig.ConfigApplyTime, latest.Round(time.Millisecond))
		fmt.Println(line)
		c.rig.Record.Add("result: " + line)
	}
	for _, l := range survivor.Log("following of the store") {
		c.rig.Record.Add("log: " + l)
	}
	return late > 0
}
