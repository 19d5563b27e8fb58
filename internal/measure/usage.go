package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// usage is the CPU time and resident memory of a process.
type usage struct {
	cpuTime  time.Duration
	resident int64
}

const (
	// clockTick is the unit of CPU times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// Indices of fields in /proc/PID/stat after the command name, which is in parentheses.
	userTicks, systemTicks, residentPages = 11, 12, 21
)

// usageOf reads a process's usage from /proc on Linux; it is zero for PID 0.
func usageOf(pid int) (usage, error) {
	if pid == 0 {
		return usage{}, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "measure: read process statistics")
	}
	return parseUsage(data)
}

func parseUsage(stat []byte) (usage, error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentPages {
		return usage{}, errors.Newf("measure: process statistics have only %d fields after the command name", len(fields))
	}
	var numbers [3]int64
	for i, place := range []int{userTicks, systemTicks, residentPages} {
		n, err := strconv.ParseInt(fields[place], 10, 64)
		if err != nil {
			return usage{}, errors.Wrap(err, "measure: parse process statistics")
		}
		numbers[i] = n
	}
	return usage{
		cpuTime:  time.Duration(numbers[0]+numbers[1]) * clockTick,
		resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
