package platformsoak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Timing and sizes of callers that send slowly.
const (
	slowCallers        = 100
	slowBodyBytes      = 1 << 20 // The largest body that the configuration allows.
	slowFirstPartBytes = 900_000 // Bytes of the body that are sent at once.
	slowPiece          = 500     // Bytes of each further piece.
	slowPieceGap       = 100 * time.Millisecond
	slowRetryDelay     = 100 * time.Millisecond
)

// sendSlowly opens many connections to an instance, each with a large body that is not sent
// whole, until the fault ends.
func sendSlowly(_ *run, t target) (func() error, error) {
	address := string(t.instance.settings.CallerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range slowCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				sendSlowBody(ctx, address, fmt.Sprintf("slow-%d", n))
				sleep(ctx, slowRetryDelay)
			}
		})
	}
	return func() error { cancel(); callers.Wait(); return nil }, nil
}

// sendSlowBody sends most of a body at once, and the rest slowly, until the instance closes the
// connection or ctx ends.
func sendSlowBody(ctx context.Context, address, id string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /open/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", routeHost, id, slowBodyBytes)
	piece := head + strings.Repeat("x", slowFirstPartBytes)
	for ctx.Err() == nil {
		if _, err := conn.Write([]byte(piece)); err != nil {
			return
		}
		piece = strings.Repeat("x", slowPiece)
		sleep(ctx, slowPieceGap)
	}
}
