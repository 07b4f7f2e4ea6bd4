package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// processUsage is the processor time and memory of a process as the kernel
// accounts for them.
type processUsage struct {
	cpu time.Duration
	// memory is the resident memory in bytes.
	memory int64
}

// Indexes of the fields of /proc/PID/stat after the command's name, and the unit
// of the times.
const (
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
	clockTick          = 10 * time.Millisecond
)

// readUsage returns the usage of a process since its start, or zeros for pid 0.
func readUsage(pid int) (processUsage, error) {
	if pid == 0 {
		return processUsage{}, nil
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processUsage{}, errors.WithStack(err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= residentPagesField {
		return processUsage{}, errors.New("unexpected format of /proc/PID/stat")
	}
	var numbers [3]int64
	for i, field := range []int{userTimeField, systemTimeField, residentPagesField} {
		numbers[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return processUsage{}, errors.WithStack(err)
		}
	}
	return processUsage{
		cpu:    time.Duration(numbers[0]+numbers[1]) * clockTick,
		memory: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
