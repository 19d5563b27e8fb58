// Package relay decides which instance sends which datagram to whom, so that
// what one instance says reaches all others.
//
// Load pattern: some hundred instances say a few messages a second each, and
// every message concerns everybody. If each instance writes to all others, it
// handles a datagram for each message of the whole fleet. Datagrams cost more
// than the bytes in them, and they grow with the square of the fleet.
//
// Idea: an instance tells its relay, one of a few instances of its data centre.
// A relay gathers what comes within a round and sends it on once: to its
// subscribers, which are the instances that told it something lately; to the
// other relays of its data centre; and to one relay of every other data centre,
// which does the same there. A round is longer the more subscribers a relay has,
// so that neither relays nor subscribers handle more datagrams in a larger fleet.
//
// An instance sees its own messages come back in a round. If they don't, its
// relay is dead, stands still, is cut off or slow, and the instance tells
// another, what was missing included. Nobody is elected and nothing is agreed
// on: whoever is told something acts as a relay, and who is told first follows
// from the members that an instance knows, fast links first.
//
// Trade-off: a message waits for a round at up to three relays on its way;
// urgent ones are sent on at once. Messages that were told twice arrive twice;
// whoever takes them in knows which are new, and only those are sent on, so that
// instances that disagree on who is a relay send nothing round in circles.
//
// Usage: give Publish each own message and Take each datagram, send what they and
// Step return, and call Step when Due says so. Decisions are pure: time is
// passed in.
package relay

// Kind says what a receiver does with the messages of a datagram, beside taking
// them in.
type Kind byte

// The kinds of datagrams.
const (
	// Deliver asks for nothing more.
	Deliver Kind = iota
	// Publish is written by an instance to its relay, which sends it on.
	Publish
	// RemoteForward is written by a relay to one of another data centre, which sends it
	// on there.
	RemoteForward
	// LocalForward is written by a relay to another of the same data centre, which
	// sends it on to its subscribers.
	LocalForward
	// Ack is written by a relay to another whose messages arrive. It has no
	// messages.
	Ack
	// Join is written by an instance to one that it doesn't hear. The receiver
	// answers with the members that it knows.
	Join

	kinds = iota
)
