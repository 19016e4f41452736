package reaper

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// fuzzInputTime bounds the time for one input.
const fuzzInputTime = 2 * time.Second

// fuzzLists are what an engine lists as its requests, in JSON.
var fuzzLists = []string{
	`[{"rid":"a.1","holder":"h"},{"rid":"a.2","holder":"h"}]`, `[{"rid":"a.1","holder":"h"},{"rid":"a.1","holder":"h"},{"rid":"a.1","holder":"other"}]`,
	`[{},{"rid":"","holder":""},{"rid":"a.1"},null,{"rid":"a.2","holder":"h","pieces":-1}]`, `[]`, `null`,
}

// FuzzHolds guards against an engine's list and a holder's reply that panic the reaper, take
// long, or make it abort an attempt which the holder has not said that it doesn't serve, and
// checks that the attempts of an ended holder are aborted all the same.
func FuzzHolds(f *testing.F) {
	for _, list := range fuzzLists {
		for _, held := range [][]bool{nil, {true}, {false}, {true, false}, {false, false}, {true, true, true}} {
			raw, _ := proto.Marshal(&HoldsReply{Held: held})
			f.Add([]byte(list), raw)
		}
	}
	f.Fuzz(func(t *testing.T, rawList, rawReply []byte) {
		var list []engineapi.HeldRequest
		reply := &HoldsReply{}
		if json.Unmarshal(rawList, &list) != nil || proto.Unmarshal(rawReply, reply) != nil {
			return
		}
		started := time.Now()
		b := newTestReaper(t)
		deps := &dependencies{links: &link.Links{Call: func(_ context.Context, _ ident.InstanceID, _ string, _, resp proto.Message) error {
			proto.Merge(resp, reply)
			return nil
		}}}
		notHeld := make(map[string]bool)
		b.QueryHolder = func(ctx context.Context, id ident.InstanceID, attempts []string) HolderReply {
			r := deps.queryHolder(ctx, "b-"+id, attempts)
			for i, attempt := range attempts {
				notHeld[attempt] = notHeld[attempt] || len(r.Held) == len(attempts) && !r.Held[i]
			}
			return r
		}
		b.holderStates["ended"] = Ended
		b.ListAttempts = func(context.Context, ident.Address) ([]engineapi.HeldRequest, error) {
			return append(slices.Clone(list), engineapi.HeldRequest{Attempt: "next", Holder: "ended"}), nil
		}
		b.advance(b.tuning.QueryDelay + 2*b.tuning.SweepInterval)
		for _, attempt := range b.aborted {
			holderEnded := slices.ContainsFunc(list, func(h engineapi.HeldRequest) bool { return h.Attempt == attempt && h.Holder == "ended" })
			if attempt != "next" && !notHeld[attempt] && !holderEnded {
				t.Errorf("%q was aborted after the reply %v for %s", attempt, reply.GetHeld(), rawList)
			}
		}
		if !slices.Contains(b.aborted, "next") && !slices.ContainsFunc(list, func(h engineapi.HeldRequest) bool { return h.Attempt == "next" }) {
			t.Error("the attempt of an ended holder was not aborted")
		}
		if elapsed := time.Since(started); elapsed > fuzzInputTime {
			t.Errorf("%d bytes took %v", len(rawList)+len(rawReply), elapsed)
		}
	})
}
