package callers

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// HostMemory returns the memory of the machine in bytes, from /proc/meminfo.
func HostMemory() (int64, error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }() // it was only read
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, ok := strings.CutPrefix(lines.Text(), "MemTotal:")
		if !ok {
			continue
		}
		var kilobytes int64
		if _, err := fmt.Sscanf(strings.TrimSpace(text), "%d kB", &kilobytes); err != nil {
			return 0, errors.Wrapf(err, "MemTotal is %q", text)
		}
		const bytesPerKB = 1 << 10
		return kilobytes * bytesPerKB, nil
	}
	return 0, errors.New("/proc/meminfo does not name MemTotal")
}

// maxDescriptors bounds what is made of RLIMIT_NOFILE, which may be infinite.
const maxDescriptors = 1 << 20

// HostDescriptors returns how many file descriptors the process may have, from
// RLIMIT_NOFILE.
func HostDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.WithStack(err)
	}
	return int(min(limit.Cur, maxDescriptors)), nil
}
