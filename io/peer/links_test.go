package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// testLinks returns listening links and their address.
func testLinks(t *testing.T, id ident.InstanceID, domain ident.DomainID) (*Links, ident.Address) {
	t.Helper()
	l := New(id, domain, log.NewNopLogger())
	address, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, address
}

// echo answers a Hello with the caller's id as its domain.
func echo(_ context.Context, from ident.InstanceID, req *Hello) (proto.Message, error) {
	return &Hello{Instance: req.GetInstance(), Domain: string(from)}, nil
}

func TestCallReachesHandlerAndNamesTheCaller(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	b, address := testLinks(t, "b-1", "d2")
	link.Handle(b.Seam(), "Test.Echo", echo)
	resp := &Hello{}
	remote, err := a.CallAddress(t.Context(), address, "Test.Echo", &Hello{Instance: "x"}, resp)
	if err != nil {
		t.Fatal(err)
	}
	if resp.GetInstance() != "x" || resp.GetDomain() != "a-1" || remote.Instance != "b-1" {
		t.Errorf("got %v from %v", resp, remote)
	}
}

func TestFailureKeepsKindRanAndRetryAfter(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	b, address := testLinks(t, "b-1", "d1")
	link.Handle(b.Seam(), "Test.Fail", func(context.Context, ident.InstanceID, *Hello) (proto.Message, error) {
		return nil, fault.New(fault.RateExceeded, "too much").WithRan(fault.MayHaveRun).WithRetryAfter(time.Now().Add(time.Minute))
	})
	_, err := a.CallAddress(t.Context(), address, "Test.Fail", &Hello{}, &Hello{})
	e := fault.From(err)
	if e.Kind != fault.RateExceeded || e.Ran != fault.MayHaveRun || time.Until(e.RetryAfter) < 50*time.Second {
		t.Errorf("got %+v", e)
	}
}

func TestUnknownMethodIsAnError(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	_, address := testLinks(t, "b-1", "d1")
	_, err := a.CallAddress(t.Context(), address, "Test.None", &Hello{}, &Hello{})
	if !fault.Is(err, fault.NotFound) {
		t.Errorf("got %v, want NotFound", err)
	}
}

func TestCallSendsNothingToAReplacedProcess(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	b, address := testLinks(t, "b-2", "d1")
	served := false
	link.Handle(b.Seam(), "Test.Echo", func(ctx context.Context, from ident.InstanceID, req *Hello) (proto.Message, error) {
		served = true
		return echo(ctx, from, req)
	})
	a.AddressOf = func(ident.InstanceID) (ident.Address, bool) { return address, true }
	err := a.Call(t.Context(), "b-1", "Test.Echo", &Hello{}, &Hello{})
	if !errors.Is(err, link.ErrReplaced) || served {
		t.Errorf("got %v, served %v; want ErrReplaced and nothing served", err, served)
	}
}

func TestCallerThatGivesUpCancelsTheHandler(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	b, address := testLinks(t, "b-1", "d1")
	cancelled := make(chan struct{})
	link.Handle(b.Seam(), "Test.Wait", func(ctx context.Context, _ ident.InstanceID, _ *Hello) (proto.Message, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, err := a.CallAddress(ctx, address, "Test.Wait", &Hello{}, &Hello{}); err == nil {
		t.Error("cancelled call returned no error")
	}
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Error("handler was not cancelled")
	}
}

func TestCutLinkIsSilentAndHeals(t *testing.T) {
	a, _ := testLinks(t, "a-1", "d1")
	b, address := testLinks(t, "b-1", "d2")
	link.Handle(b.Seam(), "Test.Echo", echo)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := a.CallAddress(ctx, address, "Test.Echo", &Hello{}, &Hello{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	a.Gate().Cut("d2")
	if err := call(); err == nil {
		t.Fatal("call over a cut link succeeded")
	}
	a.Gate().Cut()
	// The old session lost bytes; its keep-alive ends it, and a new one is made.
	deadline := time.Now().Add(15 * time.Second)
	for call() != nil {
		if time.Now().After(deadline) {
			t.Fatal("link did not heal")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// A body may look like the header of a frame: it must not be held back.
func TestBodyThatLooksLikeAHeaderIsWritten(t *testing.T) {
	near, far := net.Pipe()
	conn := NewGate().wrap(near, newLinkMetrics(metrics.NewRegistry()))
	header := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12}
	body := bytes.Clone(header)
	go func() {
		_, _ = conn.Write(header)
		_, _ = conn.Write(body)
	}()
	got := make([]byte, 2*frameHeaderBytes)
	_ = far.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(far, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append(header, body...)) {
		t.Errorf("got %v", got)
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall reports the time of a call, and the processor time that both
// ends spend on it, with eight calls at a time.
func BenchmarkCall(b *testing.B) {
	server := New("b-1", "d1", log.NewNopLogger())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	link.Handle(server.Seam(), "Test.Echo", echo)
	client := New("a-1", "d1", log.NewNopLogger())
	b.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	b.ReportAllocs()
	b.SetParallelism(1)
	before := processorTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.CallAddress(b.Context(), address, "Test.Echo", &Hello{Instance: "x"}, &Hello{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	spent := processorTime() - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
}
