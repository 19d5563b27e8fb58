package standin

import (
	"slices"
	"sync"
	"time"
)

// ExecutionState is the state of an Execution.
type ExecutionState string

const (
	// ExecutionRunning means that the execution has not ended.
	ExecutionRunning ExecutionState = "running"
	// ExecutionCompleted means that the execution took effect.
	ExecutionCompleted ExecutionState = "done"
	// ExecutionTimedOut means that the execution was aborted when the request's
	// timeout expired.
	ExecutionTimedOut ExecutionState = "timed-out"
	// ExecutionCancelled means that the execution was aborted because the
	// connection was closed.
	ExecutionCancelled ExecutionState = "cancelled"
)

// maxExecutions limits the length of an executionLog.
const maxExecutions = 500_000

// Execution is the execution of a request by a backend server. Rejected
// requests have none. StartedAt and EndedAt count from the start of the server.
type Execution struct {
	Attempt    string         `json:"attempt"`
	Workspace  string         `json:"workspace"`
	Method     string         `json:"method"`
	Path       string         `json:"path"`
	Operation  string         `json:"operation,omitempty"`
	BodyLength int64          `json:"bodyLength"`
	BodySHA256 string         `json:"bodySha256"`
	StartedAt  time.Duration  `json:"begin"`
	EndedAt    time.Duration  `json:"finish"`
	State      ExecutionState `json:"end"`
}

// executionLog records executions in the order of their start.
type executionLog struct {
	mu      sync.Mutex
	entries []Execution
	dropped int
	// completions counts the completed executions of each operation.
	completions map[string]int
}

func newExecutionLog() *executionLog {
	return &executionLog{completions: map[string]int{}}
}

// start records the start of an execution and returns the index of its entry,
// or -1 if the log is full.
func (l *executionLog) start(execution Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= maxExecutions {
		l.dropped++
		return -1
	}
	execution.State = ExecutionRunning
	l.entries = append(l.entries, execution)
	return len(l.entries) - 1
}

// finish records the end of an execution. It returns the number of completed
// executions of the operation, 0 if the operation is empty.
func (l *executionLog) finish(index int, now time.Duration, state ExecutionState, operation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index >= 0 {
		l.entries[index].EndedAt = now
		l.entries[index].State = state
	}
	if state == ExecutionCompleted && operation != "" {
		l.completions[operation]++
	}
	return l.completions[operation]
}

// snapshot returns the entries and the number of dropped ones.
func (l *executionLog) snapshot() ([]Execution, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries), l.dropped
}
