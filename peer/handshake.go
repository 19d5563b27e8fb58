package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The handshake: the server sends a nonce; the client sends its own nonce and a
// MAC over both; the server replies with another MAC over both. Each side thereby
// proves knowledge of the secret without sending it. No message is decoded before
// the handshake, which keeps the code exposed to unauthenticated peers small.
const (
	nonceSize  = 32
	macSize    = sha256.Size
	clientRole = "foxtailspoke peer client 1"
	serverRole = "foxtailspoke peer server 1"
)

// ErrHandshake reports that the peer failed to prove knowledge of the secret.
var ErrHandshake = errors.New("peer: handshake failed")

// clientHandshake performs the client's side of the handshake by the deadline.
func clientHandshake(conn net.Conn, secret []byte, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	var theirs [nonceSize]byte
	if _, err := io.ReadFull(conn, theirs[:]); err != nil {
		return err
	}
	var ours [nonceSize]byte
	_, _ = rand.Read(ours[:])
	hello := append(ours[:], handshakeMAC(secret, clientRole, theirs, ours)...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	var serverMAC [macSize]byte
	if _, err := io.ReadFull(conn, serverMAC[:]); err != nil {
		return err
	}
	if !hmac.Equal(serverMAC[:], handshakeMAC(secret, serverRole, theirs, ours)) {
		return ErrHandshake
	}
	return conn.SetDeadline(time.Time{})
}

// serverHandshake performs the server's side of the handshake by the deadline.
func serverHandshake(conn net.Conn, secret []byte, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	var ours [nonceSize]byte
	_, _ = rand.Read(ours[:])
	if _, err := conn.Write(ours[:]); err != nil {
		return err
	}
	var hello [nonceSize + macSize]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return err
	}
	theirs := [nonceSize]byte(hello[:nonceSize])
	if !hmac.Equal(hello[nonceSize:], handshakeMAC(secret, clientRole, ours, theirs)) {
		return ErrHandshake
	}
	if _, err := conn.Write(handshakeMAC(secret, serverRole, ours, theirs)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeMAC returns the MAC with which the given role proves knowledge of the
// secret.
func handshakeMAC(secret []byte, role string, server, client [nonceSize]byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(server[:])
	mac.Write(client[:])
	return mac.Sum(nil)
}
