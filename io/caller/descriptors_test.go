package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
)

const (
	// descriptorLimitEnv makes the test binary serve callers with this limit of descriptors.
	descriptorLimitEnv = "CALLER_TEST_DESCRIPTORS"
	// takeAll is the line that makes that server open files until it has no descriptor left.
	takeAll = "take"
	// fewDescriptors is a limit of descriptors.
	fewDescriptors = 128
	// refusalTime is within what a request that can't be served is to be refused.
	refusalTime = time.Second
	// idleProcessorTime is what the process may use in a second in which it serves nothing.
	idleProcessorTime = 100 * time.Millisecond
)

// TestMain runs the test binary as a server if descriptorLimitEnv is set.
func TestMain(m *testing.M) {
	if limit := os.Getenv(descriptorLimitEnv); limit != "" {
		if err := serveWithDescriptors(limit); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// serveWithDescriptors serves callers with a limit of descriptors until its input ends. It
// prints its address, and for each line of its input the processor time that it has used. For
// the line takeAll it first opens files until it has no descriptor left.
func serveWithDescriptors(limit string) error {
	n, err := strconv.ParseUint(limit, 10, 64)
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
		return err
	}
	s := NewForwardingServer(respondEmpty, log.NewLogfmtLogger(os.Stderr))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(address)
	var taken []*os.File
	defer func() { runtime.KeepAlive(taken) }()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		for in.Text() == takeAll {
			f, err := os.Open(os.DevNull)
			if err != nil {
				break
			}
			taken = append(taken, f)
		}
		var use syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
			return err
		}
		fmt.Println(use.Utime.Nano() + use.Stime.Nano())
	}
	return s.Close()
}

// limitedServer is a server in a process with few descriptors.
type limitedServer struct {
	t       *testing.T
	address string
	in      io.Writer
	out     *bufio.Reader
	log     *strings.Builder // To be read after stop.
	stop    func()
}

// startLimitedServer starts a server in a process with few descriptors.
func startLimitedServer(t *testing.T) *limitedServer {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), descriptorLimitEnv+"="+strconv.Itoa(fewDescriptors))
	s := &limitedServer{t: t, log: &strings.Builder{}}
	cmd.Stderr = s.log
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.in, s.out = in, bufio.NewReader(out)
	s.stop = func() {
		_ = in.Close()
		if err := cmd.Wait(); err != nil {
			t.Errorf("the server: %v\n%s", err, s.log)
		}
		s.stop = func() {}
	}
	t.Cleanup(func() { s.stop() })
	s.address = s.readLine()
	return s
}

// readLine reads a line that the server prints.
func (s *limitedServer) readLine() string {
	s.t.Helper()
	line, err := s.out.ReadString('\n')
	if err != nil {
		s.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// processorTime sends a line and returns the processor time that the server has used.
func (s *limitedServer) processorTime(line string) time.Duration {
	s.t.Helper()
	_, _ = io.WriteString(s.in, line+"\n")
	ns, err := strconv.ParseInt(s.readLine(), 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return time.Duration(ns)
}

// fill opens more connections than the server may have descriptors, and waits until it has
// accepted what it can.
func (s *limitedServer) fill() []net.Conn {
	s.t.Helper()
	var conns []net.Conn
	for range fewDescriptors {
		conns = append(conns, dialTest(s.t, s.address))
	}
	time.Sleep(refusalTime)
	return conns
}

// requestNew makes a request on a new connection and returns the response, without body.
func (s *limitedServer) requestNew() (*http.Response, error) {
	s.t.Helper()
	c := dialTest(s.t, s.address)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res, err
}

// TestDescriptorLimitUsesNoProcessorTime opens more connections than the process may have
// descriptors, while something else has the last ones. The loop that accepts connections would try again without a pause, and use a
// core, for as long as the limit is reached.
func TestDescriptorLimitUsesNoProcessorTime(t *testing.T) {
	s := startLimitedServer(t)
	s.fill()
	s.processorTime(takeAll)
	s.fill()
	before := s.processorTime("")
	time.Sleep(time.Second)
	if used := s.processorTime("") - before; used > idleProcessorTime {
		t.Errorf("%v of processor time in a second without a request, want at most %v", used, idleProcessorTime)
	}
}

// TestDescriptorLimitRefusesAtOnce makes a request on a connection beyond the descriptor limit.
// It would wait in the backlog without an answer until its caller gives up. When connections
// are closed, requests are served again.
func TestDescriptorLimitRefusesAtOnce(t *testing.T) {
	s := startLimitedServer(t)
	conns := s.fill()
	res, err := s.requestNew()
	if err != nil {
		t.Fatalf("a request beyond the descriptor limit: %v", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" || res.Header.Get(RanHeader) != "not run" {
		t.Errorf("a request beyond the descriptor limit: %s, %v, close %v; want 503, Retry-After, not run, close", res.Status, res.Header, res.Close)
	}
	if status, err := post(conns[0], 1); status != http.StatusOK || err != nil {
		t.Errorf("a request on an earlier connection: status %d, %v", status, err)
	}
	for _, c := range conns[1:] {
		_ = c.Close()
	}
	eventually(t, "requests on new connections are served", 5*time.Second, func() bool {
		res, err := s.requestNew()
		return err == nil && res.StatusCode == http.StatusOK
	})
	s.stop()
	if n := strings.Count(s.log.String(), "rejecting new connections"); n != 1 {
		t.Errorf("%d log lines about the limit, want 1:\n%s", n, s.log)
	}
}
