package pipeline

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// progressBytes bounds a single write, so that each part that is accepted counts as
	// progress.
	progressBytes = 8 << 10
	// stallAfter is the time without progress after which a graceful shutdown doesn't
	// wait for a response: a lost segment is sent again within less.
	stallAfter = time.Second
	// progressInterval is the time after which a blocked write checks what the caller has
	// acknowledged. Linux reports a full socket as writable only after about a third of its
	// send buffer has drained, which takes a steady but slow reader longer than the timeout.
	progressInterval = stallAfter / 4
	// checksPerTimeout is the least number of such checks within the write timeout.
	checksPerTimeout = 8
)

// progressWriter writes to a connection until the caller makes no progress for the timeout.
// Progress is a part of a write that the connection accepts, or bytes that the caller's
// kernel acknowledges.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
	// start is the time from which lastProgress counts.
	start time.Time
	// lastProgress is the time of the last progress in nanoseconds since start.
	lastProgress atomic.Int64
}

// Write implements io.Writer.
func (w *progressWriter) Write(b []byte) (written int, err error) {
	w.recordProgress()
	// unacked is negative while it isn't known for the bytes written so far.
	unacked := -1
	for len(b) > 0 {
		_ = w.conn.SetWriteDeadline(w.nextCheck())
		n, err := w.conn.Write(b[:min(len(b), progressBytes)])
		written += n
		b = b[n:]
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !timedOut {
			return written, err
		}
		before := unacked
		unacked = -1
		if timedOut {
			unacked = unackedBytes(w.conn)
		}
		switch {
		case n > 0 || unacked < before:
			w.recordProgress()
		case w.timeout > 0 && w.idleFor() >= w.timeout:
			return written, err
		}
	}
	return written, nil
}

// nextCheck returns the time at which a blocked write checks for progress.
func (w *progressWriter) nextCheck() time.Time {
	if w.timeout <= 0 {
		return time.Now().Add(progressInterval)
	}
	end := w.start.Add(time.Duration(w.lastProgress.Load()) + w.timeout)
	next := time.Now().Add(min(progressInterval, w.timeout/checksPerTimeout))
	if end.Before(next) {
		return end
	}
	return next
}

func (w *progressWriter) recordProgress() { w.lastProgress.Store(int64(time.Since(w.start))) }

// idleFor returns the time since the last progress.
func (w *progressWriter) idleFor() time.Duration {
	return time.Since(w.start) - time.Duration(w.lastProgress.Load())
}

// unackedBytes returns the number of written bytes that the peer's kernel hasn't
// acknowledged, or 0 if it is unknown.
func unackedBytes(c net.Conn) (n int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if v, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = v
		}
	})
	return n
}
