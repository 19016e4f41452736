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

// httptestStatus serves one status to all calls.
func httptestStatus(t *testing.T, status int) ident.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return ident.Address(strings.TrimPrefix(server.URL, "http://"))
}

// rawServer answers the first bytes of each connection with raw.
func rawServer(t *testing.T, raw string) ident.Address {
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

// forward passes bytes on to address, except on connections whose function,
// made by each, says that they are silent.
func forward(t *testing.T, address ident.Address, each func() func() bool) ident.Address {
	return serveConns(t, func(conn net.Conn) {
		silent := each()
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
			if !silent() {
				_, _ = target.Write(buf[:n])
			}
		}
	})
}

// serveConns runs serve on each connection to a new listener.
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
