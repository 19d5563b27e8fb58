package standin_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// startEcho starts a server that returns what it receives.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				b := make([]byte, 64)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					_, _ = c.Write(b[:n])
				}
			}()
		}
	}()
	return l.Addr().String()
}

// echo sends a byte and reports whether it comes back in time.
func echo(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-time.After(200 * time.Millisecond):
		return os.ErrDeadlineExceeded
	}
}

func TestPartitionModes(t *testing.T) {
	for _, c := range []struct {
		mode                standin.PartitionMode
		dialError, useError error
	}{
		{standin.PartitionNone, nil, nil},
		{standin.PartitionHang, context.DeadlineExceeded, os.ErrDeadlineExceeded},
		{standin.PartitionReset, syscall.ECONNREFUSED, net.ErrClosed},
		{standin.PartitionRefuse, syscall.ECONNREFUSED, nil},
	} {
		t.Run("mode "+string(c.mode), func(t *testing.T) {
			address := startEcho(t)
			p := standin.NewPartition()
			open, err := p.Dial(context.Background(), address)
			must.NoError(t, err)
			defer func() { _ = open.Close() }()
			must.NoError(t, echo(open))

			p.SetMode(c.mode)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			fresh, err := p.Dial(ctx, address)
			must.True(t, errors.Is(err, c.dialError), must.Sprint(err))
			if err == nil {
				_ = fresh.Close()
			}
			must.True(t, errors.Is(echo(open), c.useError))

			p.SetMode(standin.PartitionNone)
			fresh, err = p.Dial(context.Background(), address)
			must.NoError(t, err)
			defer func() { _ = fresh.Close() }()
			must.NoError(t, echo(fresh))
		})
	}
}

// Guards against bytes that a hanging path drops instead of delivering them later.
func TestHangingPartitionDeliversAfterwards(t *testing.T) {
	p := standin.NewPartition()
	c, err := p.Dial(context.Background(), startEcho(t))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	p.SetMode(standin.PartitionHang)
	must.ErrorIs(t, echo(c), os.ErrDeadlineExceeded)
	p.SetMode(standin.PartitionNone)
	must.NoError(t, echo(c))
}

func TestPartitionFollowsAFile(t *testing.T) {
	p, file := standin.NewPartition(), filepath.Join(t.TempDir(), "mode")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Follow(ctx, file)
	address := startEcho(t)
	refused := func() bool {
		c, err := p.Dial(context.Background(), address)
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	await := func(want bool) {
		t.Helper()
		for range 100 {
			if refused() == want {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("connections refused: %v, want %v", !want, want)
	}
	await(false)
	must.NoError(t, os.WriteFile(file, []byte("refuse\n"), 0o600))
	await(true)
	must.NoError(t, os.Remove(file))
	await(false)
}
