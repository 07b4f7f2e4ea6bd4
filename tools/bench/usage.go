package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// processUsage is what the kernel counts for a process.
type processUsage struct {
	cpu time.Duration
	// memory is resident memory in bytes.
	memory int64
}

// Fields of /proc/PID/stat after the command's name, and their units.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldPages  = 21
	tick        = 10 * time.Millisecond
)

// usage reads what a process has used; process zero has used nothing.
func usage(process int) (processUsage, error) {
	if process == 0 {
		return processUsage{}, nil
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return processUsage{}, errors.WithStack(err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= fieldPages {
		return processUsage{}, errors.New("unexpected process statistics")
	}
	var numbers [3]int64
	for i, field := range []int{fieldUser, fieldSystem, fieldPages} {
		numbers[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return processUsage{}, errors.WithStack(err)
		}
	}
	return processUsage{
		cpu:    time.Duration(numbers[0]+numbers[1]) * tick,
		memory: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
