package instancelist

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// fuzzInputTime bounds the time for one list.
const fuzzInputTime = 2 * time.Second

// fuzzLists are bodies of the server's answer.
var fuzzLists = []string{
	`[{"ServiceID":"a","ServiceAddress":"127.0.0.1","ServicePort":81,"ServiceMeta":{"domain":"d1","state":"live"}}]`, `[null,{},7,[],"x"]`, `null`, `{}`, `[`, "",
	`[{"ServiceID":"a","ServiceAddress":"127.0.0.1","ServicePort":-1},{"ServiceID":"b","ServiceAddress":"::1%eth0","ServicePort":65536}]`,
	`[{"ServiceID":"a","ServiceAddress":"::1%x","ServicePort":1,"ServiceMeta":{"state":"gone"}},{"ServiceID":"a","ServiceAddress":"1.2.3.4","ServicePort":1e400}]`,
	`[{"ServiceID":"a","ServiceAddress":"1.2.3.4","ServicePort":1,"ServiceMeta":null},{"ServiceID":"a","ServiceAddress":"1.2.3.4","ServicePort":1,"ServiceMeta":7}]`, strings.Repeat("[", 20_000),
}

// FuzzEntries guards against entries of the platform's list that panic the client, take long,
// yield an address that is none, or hide the entry behind them.
func FuzzEntries(f *testing.F) {
	for _, list := range fuzzLists {
		f.Add([]byte(list))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var entries []json.RawMessage
		if json.Unmarshal(raw, &entries) != nil {
			return
		}
		started := time.Now()
		next := json.RawMessage(`{"ServiceID":"next","ServiceAddress":"127.0.0.9","ServicePort":9,"ServiceMeta":{"domain":"d","state":"live"}}`)
		instances, err := parseEntries(append(entries, next))
		if (err == nil) != (len(instances) == len(entries)+1) {
			t.Errorf("%d of %d entries were read, error %v", len(instances), len(entries)+1, err)
		}
		for _, i := range instances {
			if a, err := netip.ParseAddrPort(string(i.PeerAddress)); err != nil || a.Port() == 0 || i.Name == "" {
				t.Errorf("instance %+v", i)
			}
		}
		if len(instances) == 0 || instances[len(instances)-1].Name != "next" {
			t.Errorf("the next entry was not read: %+v", instances)
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(raw), elapsed)
		}
	})
}
