package list

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonfork/io/standin/control"
)

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	l := New(WithLag(200 * time.Millisecond))
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	instance := Instance{ID: "i1", Address: "127.0.0.1", Port: 7, Domain: "d1", State: "live"}
	client := control.NewClient(l.ControlAddress())
	if err := client.Post(t.Context(), "/control/instances", InstancesRequest{Instances: []Instance{instance}}); err != nil {
		t.Fatal(err)
	}
	if text := catalog(t, l); text != "[]" {
		t.Errorf("catalog before the lag: %s, want an empty list", text)
	}
	time.Sleep(250 * time.Millisecond)
	if text := catalog(t, l); !strings.Contains(text, `"ServiceMeta":{"domain":"d1","state":"live"}`) {
		t.Errorf("catalog after the lag: %s", text)
	}
	instance.State = "gone"
	if err := l.SetInstances([]Instance{instance}); err == nil {
		t.Error("an unknown state was accepted")
	}
}

// catalog returns the response body of the catalog request.
func catalog(t *testing.T, l *List) string {
	t.Helper()
	response, err := http.Get("http://" + l.Address() + "/v1/catalog/service/monsoonfork")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(body))
}
