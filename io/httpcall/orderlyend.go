package httpcall

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"monsoonfork/core/fault"
)

// endsWithConnection reports whether the end of a connection is the end of the response.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

// checkOrderlyEnd returns an error if the connection did not end by an orderly close. It is called
// after a read that returned the end of the connection. The kernel reports a reset or a timeout only
// once: if a write got it, a read returns the end of the connection as after an orderly close.
func (x *poolExchange) checkOrderlyEnd() error {
	err := x.writeErr
	if x.writeDone != nil {
		err = x.writeErrorAtEnd()
	}
	// After an orderly close of the endpoint's side a later reset is reported as EPIPE.
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return fault.Wrap(err, fault.AnswerBroken, "the connection was reset within the response")
}

// errWriteNotEnded is the result of a write that continues while it is not known whether its connection
// has ended.
var errWriteNotEnded = errors.New("the write of the request has not returned after the end of the connection")

// writeErrorAtEnd returns the error of the concurrent write after the connection has ended. It is nil
// while the endpoint has closed only its side and the write continues.
func (x *poolExchange) writeErrorAtEnd() error {
	ended, err := hasEnded(x.conn.Conn)
	if err == nil && !ended {
		return nil
	}
	var expired <-chan time.Time // Never, if the connection has ended: the write has failed, or is about to.
	if err != nil {
		timer := time.NewTimer(writeReportTime)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case res := <-x.writeDone:
		x.writeDone <- res // For awaitWrite.
		return res.err
	case <-expired:
		return errWriteNotEnded
	}
}

// hasEnded reports whether both directions of a connection have ended: a write to it fails at once.
func hasEnded(conn net.Conn) (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := withDescriptor(conn, func(fd int) {
		info, infoErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.CombineErrors(err, infoErr); err != nil {
		return false, err
	}
	return info.State == unix.BPF_TCP_CLOSE, nil
}
