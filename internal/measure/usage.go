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

// usage is what a process has used so far.
type usage struct {
	cpuTime  time.Duration
	resident int64
}

const (
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// Places in /proc/PID/stat behind the command, which is in parentheses.
	userTicks, systemTicks, residentPages = 11, 12, 21
)

// usageOf reads a process's usage from Linux's /proc; nothing for process 0.
func usageOf(pid int) (usage, error) {
	if pid == 0 {
		return usage{}, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "measure: processor time")
	}
	return parseUsage(data)
}

func parseUsage(stat []byte) (usage, error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentPages {
		return usage{}, errors.Newf("measure: %d fields of a process", len(fields))
	}
	var numbers [3]int64
	for i, place := range []int{userTicks, systemTicks, residentPages} {
		n, err := strconv.ParseInt(fields[place], 10, 64)
		if err != nil {
			return usage{}, errors.Wrap(err, "measure: processor time")
		}
		numbers[i] = n
	}
	return usage{
		cpuTime:  time.Duration(numbers[0]+numbers[1]) * clockTick,
		resident: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
