package membership

import (
	"hash/fnv"
	"slices"
	"sort"

	"monsoonfork/core/ident"
)

// View is an immutable snapshot of the table of members. Counter, Revision and LastHeartbeat of its
// members are as of the time at which it was built.
type View struct {
	Self        Member
	members     map[ident.InstanceID]Member
	notGone     int                         // Number of members that are not Gone.
	live        map[ident.DomainID][]Member // Members in state Live, sorted by instance id.
	hashes      map[ident.DomainID]uint64   // Hash of the ids of a domain's live members, to compare views.
	domains     []ident.DomainID            // Domains with live members, sorted by name.
	domainNames []string                    // The same, as digests have them.
	neighbours  []neighbour                 // Other members of the own domain.
}

// neighbour is another member of the own domain.
type neighbour struct {
	id   ident.InstanceID
	hash memberHash
}

// newView builds the view of a set of members.
func newView(self Member, members map[ident.InstanceID]Member) *View {
	v := &View{
		Self:    self,
		members: members,
		live:    make(map[ident.DomainID][]Member),
		hashes:  make(map[ident.DomainID]uint64),
	}
	for id, m := range members {
		if m.State != Gone {
			v.notGone++
		}
		if m.State == Live {
			v.live[m.Domain] = append(v.live[m.Domain], m)
		}
		if m.Domain == self.Domain && id != self.ID {
			v.neighbours = append(v.neighbours, neighbour{id, m.hash()})
		}
	}
	for domain, list := range v.live {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		v.hashes[domain] = hashMembers(list)
		v.domains = append(v.domains, domain)
	}
	slices.Sort(v.domains)
	for _, domain := range v.domains {
		v.domainNames = append(v.domainNames, string(domain))
	}
	return v
}

// hashMembers returns a hash of the instance ids of a sorted list of members.
func hashMembers(list []Member) uint64 {
	h := fnv.New64a()
	for _, m := range list {
		_, _ = h.Write([]byte(m.ID))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// Live returns the live members of a domain, sorted by instance id. The caller must not
// change the slice.
func (v *View) Live(domain ident.DomainID) []Member { return v.live[domain] }

// Domains returns the domains that have live members, sorted by name. The caller must not
// change the slice.
func (v *View) Domains() []ident.DomainID { return v.domains }

// NotGone returns the number of members in any state but Gone.
func (v *View) NotGone() int { return v.notGone }

// Member returns the member with the given instance id, in any state.
func (v *View) Member(id ident.InstanceID) (Member, bool) {
	m, ok := v.members[id]
	return m, ok
}

// Members returns all members in any state, sorted by domain and instance id.
func (v *View) Members() []Member { return sortedMembers(v.members) }

// sortedMembers returns members sorted by domain and instance id.
func sortedMembers(members map[ident.InstanceID]Member) []Member {
	list := make([]Member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Domain != list[j].Domain {
			return list[i].Domain < list[j].Domain
		}
		return list[i].ID < list[j].ID
	})
	return list
}

// Owner returns the live member of a domain that owns key: the one with the highest
// rendezvous weight. The result is false if the domain has no live member.
func (v *View) Owner(domain ident.DomainID, key string) (Member, bool) {
	var best Member
	var bestWeight uint64
	list := v.live[domain]
	for i := range list {
		weight := rendezvousWeight(list[i].ID, key)
		if i == 0 || weight > bestWeight {
			best, bestWeight = list[i], weight
		}
	}
	return best, len(list) > 0
}

// Ranked returns the live members of a domain by falling rendezvous weight for key, so that
// the owner of key is first.
func (v *View) Ranked(domain ident.DomainID, key string) []Member {
	list := append([]Member(nil), v.live[domain]...)
	sort.Slice(list, func(i, j int) bool {
		return rendezvousWeight(list[i].ID, key) > rendezvousWeight(list[j].ID, key)
	})
	return list
}

// GlobalOwner returns the owner of key among the live members of all domains. The result is
// false if there are none.
func (v *View) GlobalOwner(key string) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	for _, list := range v.live {
		for i := range list {
			weight := rendezvousWeight(list[i].ID, key)
			if !found || weight > bestWeight {
				best, bestWeight, found = list[i], weight, true
			}
		}
	}
	return best, found
}

// rendezvousWeight returns the rendezvous hashing weight of a member for a key. It is an
// FNV-1a hash followed by the MurmurHash3 finaliser, because FNV alone mixes the last bytes
// of its input badly.
func rendezvousWeight(id ident.InstanceID, key string) uint64 {
	const (
		offset = 14695981039346656037
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	h = (h ^ 0xff) * prime
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * prime
	}
	return mix(h)
}

// mix is the 64-bit finaliser of MurmurHash3: each bit of h affects all bits of the result.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
