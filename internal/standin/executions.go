package standin

import (
	"slices"
	"sync"
	"time"
)

// ExecutionState says how the work on a request ended.
type ExecutionState string

const (
	// ExecutionRunning work hasn't ended yet.
	ExecutionRunning ExecutionState = "running"
	// ExecutionCompleted work was completed and had its effect.
	ExecutionCompleted ExecutionState = "done"
	// ExecutionTimedOut work was given up when the request's time ran out.
	ExecutionTimedOut ExecutionState = "timed-out"
	// ExecutionCancelled work was given up because the connection was closed.
	ExecutionCancelled ExecutionState = "cancelled"
)

// maxExecutions bounds the log of executions.
const maxExecutions = 500_000

// Execution is one request that a backend server began to work on. A request
// that it shed isn't here.
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

// executionLog keeps the executions in the order of their beginnings.
type executionLog struct {
	mu      sync.Mutex
	entries []Execution
	dropped int
	// completions counts the completed executions by operation.
	completions map[string]int
}

func newExecutionLog() *executionLog {
	return &executionLog{completions: map[string]int{}}
}

// start takes down that work begins, and returns the entry's index; -1 if
// the log is full.
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

// finish takes down how it ended. It returns how often the operation has
// been completed, for an operation with an id.
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

func (l *executionLog) snapshot() ([]Execution, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries), l.dropped
}
