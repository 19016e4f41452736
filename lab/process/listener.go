package process

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// tcpListenState is the state field of a listening socket in /proc/net/tcp.
const tcpListenState = "0A"

// ListenerProcesses describes the processes that listen on a loopback address, or
// the error of the lookup. Tests print it when an address is unexpectedly in use.
func ListenerProcesses(address string) string {
	inode, err := listenerInode(address)
	if err != nil {
		return err.Error()
	}
	links, err := filepath.Glob("/proc/[0-9]*/fd/*")
	if err != nil {
		return err.Error()
	}
	var descriptions []string
	for _, link := range links {
		// A process or descriptor may disappear during the scan; skip it.
		if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
			pid := strings.Split(link, "/")[2]
			command, _ := os.ReadFile(filepath.Join("/proc", pid, "cmdline"))
			descriptions = append(descriptions, fmt.Sprintf("%s (%s)", pid, strings.TrimSpace(strings.ReplaceAll(string(command), "\x00", " "))))
		}
	}
	return fmt.Sprintf("inode %s is held by %d processes: %s", inode, len(descriptions), strings.Join(descriptions, ", "))
}

// listenerInode returns the inode of the socket that listens on the port of
// address.
func listenerInode(address string) (string, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return "", err
	}
	suffix := fmt.Sprintf(":%04X", number)
	for line := range strings.Lines(string(raw)) {
		if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], suffix) && f[3] == tcpListenState {
			return f[9], nil
		}
	}
	return "", fmt.Errorf("no process listens on %s", address)
}
