package operator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/quarantine"
	"monsoonfork/core/settings"
)

// TestOperatorReleasesHeldPart guards against a part that is held by mistake, or whose engines were
// replaced, staying out of reach of operators.
func TestOperatorReleasesHeldPart(t *testing.T) {
	n := kernel.NewNode(&settings.Settings{}, log.NewNopLogger())
	s := &server{node: n, log: log.NewNopLogger()}
	web := httptest.NewServer(s.platformRoutes())
	defer web.Close()
	client := NewClient(ident.Address(strings.TrimPrefix(web.URL, "http://")))
	if _, err := client.Held(context.Background()); !fault.Is(err, fault.NotFound) {
		t.Errorf("without a quarantine: %v, want NotFound", err)
	}
	q := quarantine.New("self", log.NewNopLogger(), metrics.NewRegistry(), time.Now)
	kernel.Provide(n, q)
	prompt := quarantine.Prompt{Scope: quarantine.Scope{Service: "draft", Model: "m"}, Parts: []ident.PartID{"5c", "own"}}
	q.RecordCrash(prompt, quarantine.Run{Engine: "e1"})
	q.RecordCrash(prompt, quarantine.Run{Engine: "e2"})
	list, err := client.Held(context.Background())
	if err != nil || len(list) != 1 || list[0].Part != "5c" || list[0].Crashes != 2 || list[0].RetryInMS <= 0 {
		t.Fatalf("held: %+v, %v", list, err)
	}
	if err := client.FreePart(context.Background(), PartName{Service: "draft", Model: "m", Part: "e4"}); !fault.Is(err, fault.NotFound) {
		t.Errorf("another part: %v, want NotFound", err)
	}
	if err := client.FreePart(context.Background(), PartName{Service: "draft", Model: "m", Part: "5c"}); err != nil {
		t.Error(err)
	}
	if list, err := client.Held(context.Background()); err != nil || len(list) != 0 || q.IsHeld(prompt) {
		t.Errorf("after the release: %+v, %v", list, err)
	}
}
