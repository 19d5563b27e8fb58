// Package client reaches the platform's table, object store and instance
// list over HTTP. It implements the interfaces of package platform.
//
// The client never sends a write a second time: whether to repeat one after
// an unknown outcome is its user's decision.
package client

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// Defaults of Settings.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultDialTimeout = time.Second
	DefaultMaxConnections = 32
	DefaultMaxResponseBytes   = 64 << 20
)

const (
	idleTimeout       = 90 * time.Second
	keepAliveInterval = 15 * time.Second
)

// Settings of a client. A zero field takes its default.
type Settings struct {
	// Timeout bounds one call from its start to the end of the answer. A
	// context that ends earlier goes first.
	Timeout time.Duration
	// DialTimeout bounds making a connection, within Timeout.
	DialTimeout time.Duration
	// MaxConnections bounds the connections to the platform, in use or idle.
	MaxConnections int
	// MaxResponseBytes bounds an answer's body, in bytes. A longer one counts as
	// no answer.
	MaxResponseBytes int64
}

// Client is one process's access to the platform. It is safe for concurrent
// use.
type Client struct {
	api       *oas.Client
	transport *http.Transport
	timeout   time.Duration
}

var (
	_ storage.Table     = (*Client)(nil)
	_ storage.Objects   = objects{}
	_ storage.Instances = (*Client)(nil)
)

// New returns a client of the platform at baseURL, for instance
// "http://10.0.0.1:7000". It makes no connection yet.
func New(baseURL string, s Settings) (*Client, error) {
	s = s.withDefaults()
	transport := newTransport(s)
	httpClient := &http.Client{
		Transport:     limitedTransport{next: transport, maxAnswer: s.MaxResponseBytes},
		CheckRedirect: stayHere,
	}
	api, err := oas.NewClient(baseURL, oas.WithClient(httpClient))
	if err != nil {
		return nil, errors.Wrapf(err, "platform address %q", baseURL)
	}
	return &Client{api: api, transport: transport, timeout: s.Timeout}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.timeout)
}

func (s Settings) withDefaults() Settings {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.MaxConnections <= 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.MaxResponseBytes <= 0 {
		s.MaxResponseBytes = DefaultMaxResponseBytes
	}
	return s
}

// stayHere stops redirects. A redirected POST is sent once more with its
// body: the transaction could commit at both places.
func stayHere(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        s.MaxConnections,
		MaxIdleConnsPerHost: s.MaxConnections,
		MaxConnsPerHost:     s.MaxConnections,
		IdleConnTimeout:     idleTimeout,
	}
}
