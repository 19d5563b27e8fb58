// Package relay decides which instance sends which datagram to which others, so
// that the messages of each instance reach all of them.
//
// Load pattern: some hundred instances publish a few messages per second each,
// and every message is for all instances. If each instance wrote to all others,
// it would handle one datagram for each message of the whole fleet. A datagram
// costs more than the bytes in it, and the total grows with the square of the
// fleet.
//
// Design: an instance publishes to its relay, one of a few instances of its
// data centre. A relay collects what arrives within a round and forwards it
// once: to its subscribers, which are the instances that published to it
// recently; to the other relays of its data centre; and to one relay of each
// other data centre, which does the same there. The interval between rounds
// grows with the number of subscribers, so that neither relays nor subscribers
// handle more datagrams in a larger fleet.
//
// An instance receives its own messages back in a round, which serves as the
// acknowledgement. If a message does not return, the relay is dead, suspended,
// cut off or slow, and the instance publishes to another one, including the
// missing messages. There is no election and no agreement: an instance that is
// published to acts as a relay, and the order in which relays are tried follows
// from the known members, fast links first.
//
// Trade-off: a message waits for a round at up to three relays on its way;
// urgent ones are forwarded with less delay. Messages that were sent twice
// arrive twice; the receiver knows which are new, and only those are forwarded,
// so that instances that disagree on who is a relay do not create loops.
//
// Usage: pass each own message to Publish and each received datagram to
// Receive, send the datagrams that these and Step return, and call Step at the
// time that Due returns. The package does no I/O and reads no clock: time is
// passed in.
package relay

// Kind determines what the receiver of a datagram does beyond processing its
// messages.
type Kind byte

// Datagram kinds.
const (
	// Deliver requires nothing more.
	Deliver Kind = iota
	// Publish is sent by an instance to its relay, which forwards the messages.
	Publish
	// RemoteForward is sent by a relay to a relay of another data centre, which
	// forwards the messages there.
	RemoteForward
	// LocalForward is sent by a relay to another relay of the same data centre,
	// which forwards the messages to its subscribers.
	LocalForward
	// Ack is sent by a relay to another relay to acknowledge its messages. It
	// contains no messages.
	Ack
	// Join is sent by an instance to one that it does not hear. The receiver
	// answers with the members that it knows.
	Join

	kinds = iota
)
