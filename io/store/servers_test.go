package store

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"monsoonfork/core/ident"
)

func itoa(n int) string { return strconv.Itoa(n) }

// newStatusServer starts a server that responds to all requests with one status.
func newStatusServer(t *testing.T, status int) ident.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return ident.Address(strings.TrimPrefix(server.URL, "http://"))
}

// newRawServer starts a server that writes raw after each read from a connection.
func newRawServer(t *testing.T, raw string) ident.Address {
	return serveConns(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
			_, _ = io.WriteString(conn, raw)
		}
	})
}

// newProxy starts a proxy for address. It calls newStallCheck for each connection,
// and drops the bytes that the client sends while the function that it returned returns
// true.
func newProxy(t *testing.T, address ident.Address, newStallCheck func() func() bool) ident.Address {
	return serveConns(t, func(conn net.Conn) {
		stalled := newStallCheck()
		target, err := net.Dial("tcp", string(address))
		if err != nil {
			return
		}
		defer func() { _ = target.Close() }()
		go func() { _, _ = io.Copy(conn, target) }()
		buf := make([]byte, 64<<10)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			if !stalled() {
				_, _ = target.Write(buf[:n])
			}
		}
	})
}

// serveConns starts a listener and runs serve for each connection to it.
func serveConns(t *testing.T, serve func(net.Conn)) ident.Address {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return ident.Address(ln.Addr().String())
}
