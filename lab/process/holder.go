package process

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// Holder says which process listens on a loopback address, for the message of a test
// that found it in use.
func Holder(address string) string {
	inode, err := listenerOf(address)
	if err != nil {
		return err.Error()
	}
	links, err := filepath.Glob("/proc/[0-9]*/fd/*")
	if err != nil {
		return err.Error()
	}
	var holders []string
	for _, link := range links {
		// Processes and descriptors come and go meanwhile.
		if to, err := os.Readlink(link); err == nil && to == "socket:["+inode+"]" {
			pid := strings.Split(link, "/")[2]
			command, _ := os.ReadFile(filepath.Join("/proc", pid, "cmdline"))
			holders = append(holders, fmt.Sprintf("%s (%s)", pid, strings.TrimSpace(strings.ReplaceAll(string(command), "\x00", " "))))
		}
	}
	return fmt.Sprintf("inode %s is held by %d processes: %s", inode, len(holders), strings.Join(holders, ", "))
}

// listenerOf returns the inode of the socket that listens on an address.
func listenerOf(address string) (string, error) {
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
		if f := strings.Fields(line); len(f) > 9 && strings.HasSuffix(f[1], suffix) && f[3] == listening {
			return f[9], nil
		}
	}
	return "", fmt.Errorf("nobody listens on %s any more", address)
}
