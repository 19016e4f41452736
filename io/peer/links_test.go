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

// newTestLinks returns Links that listen on a loopback port, and their address.
func newTestLinks(t *testing.T, id ident.InstanceID, domain ident.DomainID) (*Links, ident.Address) {
	t.Helper()
	l := New(id, domain, log.NewNopLogger())
	address, err := l.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, address
}

// echo returns the Hello that it receives, with the id of the calling instance as the
// domain.
func echo(_ context.Context, from ident.InstanceID, req *Hello) (proto.Message, error) {
	return &Hello{Instance: req.GetInstance(), Domain: string(from)}, nil
}

func TestHandlerReceivesCallerID(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d2")
	link.Handle(b.RoleLinks(), "Test.Echo", echo)
	resp := &Hello{}
	remote, err := a.CallAddress(t.Context(), address, "Test.Echo", &Hello{Instance: "x"}, resp)
	if err != nil {
		t.Fatal(err)
	}
	if resp.GetInstance() != "x" || resp.GetDomain() != "a-1" || remote.Instance != "b-1" {
		t.Errorf("got reply %v from %v, want instance x, domain a-1 from b-1", resp, remote)
	}
}

func TestReplyPreservesErrorFields(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d1")
	link.Handle(b.RoleLinks(), "Test.Fail", func(context.Context, ident.InstanceID, *Hello) (proto.Message, error) {
		return nil, fault.New(fault.RateExceeded, "too much").WithRan(fault.MayHaveRun).WithRetryAfter(time.Now().Add(time.Minute))
	})
	_, err := a.CallAddress(t.Context(), address, "Test.Fail", &Hello{}, &Hello{})
	e := fault.From(err)
	if e.Kind != fault.RateExceeded || e.Ran != fault.MayHaveRun || time.Until(e.RetryAfter) < 50*time.Second {
		t.Errorf("got error %+v, want its kind, Ran and RetryAfter as returned by the handler", e)
	}
}

// TestUndefinedFailureFieldsAreReplaced guards against an error of another version of the
// program that callers get with an empty X-Ran, or whose time of a retry overflows.
func TestUndefinedFailureFieldsAreReplaced(t *testing.T) {
	for _, f := range []*Failure{{Kind: 1 << 30, Ran: 3, RetryAfterUs: 1 << 62}, {Kind: -1, Ran: -1, RetryAfterUs: 1 << 53}} {
		e := fault.From(failureError(f))
		if e.Kind != fault.Internal || e.Ran != fault.MayHaveRun || time.Until(e.RetryAfter) < 50*time.Minute || time.Until(e.RetryAfter) > time.Hour {
			t.Errorf("failure %v: kind %d, ran %d, retry after %v", f, e.Kind, e.Ran, time.Until(e.RetryAfter))
		}
	}
}

func TestUnknownMethodReturnsNotFound(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	_, address := newTestLinks(t, "b-1", "d1")
	_, err := a.CallAddress(t.Context(), address, "Test.None", &Hello{}, &Hello{})
	if !fault.Is(err, fault.NotFound) {
		t.Errorf("got error %v, want NotFound", err)
	}
}

func TestCallSendsNothingToReplacedProcess(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-2", "d1")
	served := false
	link.Handle(b.RoleLinks(), "Test.Echo", func(ctx context.Context, from ident.InstanceID, req *Hello) (proto.Message, error) {
		served = true
		return echo(ctx, from, req)
	})
	a.AddressOf = func(ident.InstanceID) (ident.Address, bool) { return address, true }
	err := a.Call(t.Context(), "b-1", "Test.Echo", &Hello{}, &Hello{})
	if !errors.Is(err, link.ErrReplaced) || served {
		t.Errorf("got error %v, handler called %v; want ErrReplaced and no call", err, served)
	}
}

func TestCallerCancellationCancelsHandler(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d1")
	cancelled := make(chan struct{})
	link.Handle(b.RoleLinks(), "Test.Wait", func(ctx context.Context, _ ident.InstanceID, _ *Hello) (proto.Message, error) {
		<-ctx.Done()
		close(cancelled)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, err := a.CallAddress(ctx, address, "Test.Wait", &Hello{}, &Hello{}); err == nil {
		t.Error("a cancelled call returned no error")
	}
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the context of the handler was not cancelled")
	}
}

func TestCutLinkDropsDataAndReconnects(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d2")
	link.Handle(b.RoleLinks(), "Test.Echo", echo)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := a.CallAddress(ctx, address, "Test.Echo", &Hello{}, &Hello{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	a.Partition().Cut("d2")
	if err := call(); err == nil {
		t.Fatal("a call over a cut link succeeded")
	}
	a.Partition().Cut()
	// The old session stays unusable, as it dropped bytes. After a failed ping it is
	// closed, and the next call opens a new session.
	deadline := time.Now().Add(15 * time.Second)
	for call() != nil {
		if time.Now().After(deadline) {
			t.Fatal("no call succeeded within 15 s after the partition ended")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestBodyResemblingFrameHeaderIsWritten checks that a frame body with the bytes of a frame
// header is written at once, not held back like a header.
func TestBodyResemblingFrameHeaderIsWritten(t *testing.T) {
	local, remote := net.Pipe()
	conn := NewPartition().wrapConn(local, newLinkMetrics(metrics.NewRegistry()))
	header := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 12}
	body := bytes.Clone(header)
	go func() {
		_, _ = conn.Write(header)
		_, _ = conn.Write(body)
	}()
	got := make([]byte, 2*frameHeaderBytes)
	_ = remote.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(remote, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append(header, body...)) {
		t.Errorf("got bytes %v, want header and body", got)
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall reports the duration of a call and the CPU time that both ends use for
// it, with GOMAXPROCS concurrent calls.
func BenchmarkCall(b *testing.B) {
	server := New("b-1", "d1", log.NewNopLogger())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	link.Handle(server.RoleLinks(), "Test.Echo", echo)
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
