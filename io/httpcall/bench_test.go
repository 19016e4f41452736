package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// echo answers every request of a connection with two bytes.
func echo(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// BenchmarkFreshConnection measures a call of this package: a connection each.
func BenchmarkFreshConnection(b *testing.B) {
	addr := echo(b)
	c := newClient(b)
	body := []byte(strings.Repeat("x", 1000))
	for b.Loop() {
		var a answer
		by := time.Now().Add(10 * time.Second)
		call := Call{Address: ident.Address(addr), Method: "POST", Target: "/", Body: body, ID: "r", Limits: Limits{ConnectBy: by, WholeBy: by}}
		if err := c.Do(context.Background(), call, a.sink()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPooledConnection measures a call over a connection that stays open.
// It stands for a pool at its best: one connection, never probed.
func BenchmarkPooledConnection(b *testing.B) {
	addr := echo(b)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	message, err := encode(Call{Address: ident.Address(addr), Method: "POST", Target: "/", Body: []byte(strings.Repeat("x", 1000)), ID: "r"})
	if err != nil {
		b.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for b.Loop() {
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
