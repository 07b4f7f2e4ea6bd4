package soak

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"carobspoke.example/tools/emulator"
)

// incarnation identifies the process of a daemon since it was last started,
// signalled or stopped.
func (h *host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s since %s", h.settings.Name, h.disturbedAt.Format("15:04:05.000000"))
}

// inTouch reports whether neither the daemon nor the store or the path between them
// was disturbed in the last emulator.StableTime.
func (b *testbed) inTouch(h *host) bool {
	return b.store.Undisturbed(emulator.StableTime) && h.store.Undisturbed(emulator.StableTime) && h.undisturbed(emulator.StableTime)
}

// maxLookups is how often a socket is searched. A read of the table of all sockets may
// miss one while others are opened and closed.
const maxLookups = 20

// identify returns the daemon that has opened a connection, or an empty sender if the
// connection has ended. address returns where it comes from while it is open. The daemons share the addresses from
// which they connect, so that the socket is searched among those of their processes.
func (b *testbed) identify(address func() string) emulator.Sender {
	for range maxLookups {
		open := address()
		if open == "" {
			break
		}
		if from := b.lookUp(open); from.Incarnation != "" {
			return from
		}
	}
	return emulator.Sender{}
}

func (b *testbed) lookUp(address string) emulator.Sender {
	inode := socketInode(address)
	if inode == "" {
		return emulator.Sender{}
	}
	for _, h := range b.hosts {
		if slices.Contains(h.sockets(), inode) {
			return emulator.Sender{Incarnation: h.incarnation(), InTouch: b.inTouch(h)}
		}
	}
	return emulator.Sender{}
}

// Columns of /proc/net/tcp.
const (
	columnLocal = 1
	columnInode = 9
)

// socketInode returns the inode of the socket with a local IPv4 address, or an empty
// text if none is open.
func socketInode(address string) string {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ip := local.Addr().AsSlice()
	slices.Reverse(ip)
	want := fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip)), local.Port())
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) > columnInode && columns[columnLocal] == want && columns[columnInode] != "0" {
			return columns[columnInode]
		}
	}
	return ""
}

// sockets returns the inodes of the sockets of the process.
func (p *process) sockets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid) + "/fd/"
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil // the process has exited
	}
	var inodes []string
	for _, entry := range entries {
		link, err := os.Readlink(folder + entry.Name())
		if inode, ok := strings.CutPrefix(link, "socket:["); ok && err == nil {
			inodes = append(inodes, strings.TrimSuffix(inode, "]"))
		}
	}
	return inodes
}
