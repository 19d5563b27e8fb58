package memory

import "runtime/debug"

// collectedShare is the part of the machine's memory up to which the garbage collector lets the memory of
// the process grow. The rest is for the program itself and the kernel's buffers of its connections.
const collectedShare = 0.7

// SetSoftLimit makes the garbage collector run more often near the memory of the machine. Without it the
// process may take twice the memory that is in use. 0 means that the memory is unknown.
func SetSoftLimit(machineMB float64) {
	if machineMB > 0 {
		debug.SetMemoryLimit(int64(collectedShare * machineMB * (1 << 20)))
	}
}
