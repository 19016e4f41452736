package platformsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
	"monsoonfork/lab/relay"
)

// dumpTimeout bounds the time of reading the state of an instance.
const dumpTimeout = 5 * time.Second

// addPeerLink puts a relay between an instance and the others, and gives the instance
// number n a loopback address of its own, by which the relays of the others tell it apart.
func (w *testbed) addPeerLink(i *instance, s *settings.Settings, n int) error {
	free, err := process.FreeAddress()
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(free)
	if err != nil {
		return err
	}
	i.peerIP = netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)})
	s.PeerListenAddress = ident.Address(net.JoinHostPort(i.peerIP.String(), port))
	i.peerLink, err = w.newRelay(string(s.PeerListenAddress), relay.WithAddress(string(s.PeerAddress)))
	return err
}

// refusePeersAfter refuses links from other instances when a process has ended, as its own
// address would, unless a newer process has started.
func (i *instance) refusePeersAfter(p *process.Process) {
	<-p.Ended()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == p {
		i.peerLink.Refuse()
	}
}

// peerLink returns the relay on the links from other instances to a target.
func peerLink(t target) *relay.Relay { return t.instance.peerLink }

// cutPeers returns a fault that cuts an instance off from the others: cut cuts the links
// to it, and all data on its own links is lost.
func cutPeers(cut func(*relay.Relay)) func(*run, target) (func() error, error) {
	return func(r *run, t target) (func() error, error) {
		cut(t.instance.peerLink)
		for _, other := range r.testbed.instances {
			if other != t.instance {
				other.peerLink.CutFrom(t.instance.peerIP)
			}
		}
		return r.healPeers, nil
	}
}

// splitPeers cuts the links between two halves of the instances, in both directions.
func splitPeers(r *run, t target) (func() error, error) {
	order := t.random.Perm(len(r.testbed.instances))
	half := len(order) / 2
	for _, a := range order[:half] {
		for _, b := range order[half:] {
			one, other := r.testbed.instances[a], r.testbed.instances[b]
			one.peerLink.CutFrom(other.peerIP)
			other.peerLink.CutFrom(one.peerIP)
		}
	}
	return r.healPeers, nil
}

// healPeers ends the cuts of all links between instances. Another such fault that is still
// active ends with it.
func (r *run) healPeers() error {
	for _, i := range r.testbed.instances {
		i.peerLink.Heal()
	}
	return nil
}

// refusePeers resets the links to an instance and refuses new ones.
func refusePeers(_ *run, t target) (func() error, error) {
	t.instance.peerLink.Refuse()
	return t.instance.peerLink.Accept, nil
}

// memberList is the part of an instance's state that lists the other instances.
type memberList struct {
	Instance ident.InstanceID
	Roles    struct{ Membership []membership.Member }
}

// readMembers returns the lists of all instances, and a finding for each that has none.
func (r *run) readMembers() []memberList {
	var lists []memberList
	for _, i := range r.testbed.instances {
		list, err := i.readMembers()
		if err != nil {
			r.addFinding(MembersAgree, "%s has no list of members: %v", i.name, err)
			continue
		}
		lists = append(lists, list)
	}
	return lists
}

// readMembers returns the list of the instance.
func (i *instance) readMembers() (list memberList, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(i.settings.OperatorAddress)+"/dump", nil)
	if err != nil {
		return list, err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return list, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", response.StatusCode)
	}
	return list, json.NewDecoder(response.Body).Decode(&list)
}

// checkMembers reports instances that do not count another one as live, or count one as
// live whose process has ended.
func (r *run) checkMembers(lists []memberList) {
	running := make(map[ident.InstanceID]bool, len(lists))
	for _, l := range lists {
		running[l.Instance] = true
	}
	for _, l := range lists {
		missing := len(running)
		for _, m := range l.Roles.Membership {
			switch {
			case m.State == membership.Live && running[m.ID]:
				missing--
			case m.State == membership.Live:
				r.addFinding(MembersAgree, "%s counts %s as live, whose process has ended", l.Instance, m.ID)
			case running[m.ID]:
				r.addFinding(MembersAgree, "%s counts %s as %v", l.Instance, m.ID, m.State)
				missing--
			}
		}
		if missing != 0 {
			r.addFinding(MembersAgree, "%s lacks %d of %d instances", l.Instance, missing, len(running))
		}
	}
}
