// Package client accesses the platform's table store, object store and instance
// registry over HTTP. It implements the interfaces of package storage.
//
// The client never retries a write: the caller decides whether to repeat one
// whose outcome is unknown.
package client

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/httphead"
	"foxtailspoke/storage"
)

// Default values of Settings.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultDialTimeout      = time.Second
	DefaultMaxConnections   = 32
	DefaultMaxResponseBytes = 64 << 20
)

const (
	idleTimeout       = 90 * time.Second
	keepAliveInterval = 15 * time.Second
)

// Settings of a client. Zero fields take their default values.
type Settings struct {
	// Timeout limits a call, from its start to the end of the response body. An
	// earlier deadline of the context takes precedence.
	Timeout time.Duration
	// DialTimeout limits connection establishment, within Timeout.
	DialTimeout time.Duration
	// MaxConnections limits the connections to the platform, active and idle.
	MaxConnections int
	// MaxResponseBytes limits the size of a response body. A call whose response
	// exceeds it fails as if no response had been received.
	MaxResponseBytes int64
}

// Client is a client of the platform. It is safe for concurrent use.
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

// New returns a client of the platform at baseURL, for example
// "http://10.0.0.1:7000". Connections are opened on first use.
func New(baseURL string, s Settings) (*Client, error) {
	s = s.withDefaults()
	transport := newTransport(s)
	httpClient := &http.Client{
		Transport:     limitedTransport{next: httphead.Transport{Next: transport}, maxBytes: s.MaxResponseBytes},
		CheckRedirect: rejectRedirects,
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

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
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

// rejectRedirects disables redirects. A 307 or 308 redirect makes the HTTP client
// resend a POST with its body, so the transaction could commit at both servers.
func rejectRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// maxResponseHeadBytes bounds the headers of a response.
const maxResponseHeadBytes = 64 << 10

func newTransport(s Settings) *http.Transport {
	dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        s.MaxConnections,
		MaxIdleConnsPerHost: s.MaxConnections,
		MaxConnsPerHost:     s.MaxConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}
