package quota

import "time"

// Ask is the message by which an instance asks a holder for tokens. It is sent
// once; a retransmission may lose tokens but never duplicates them.
type Ask struct {
	// ID is unique among the asks of one instance.
	ID     uint64
	From   string
	Bucket Bucket
	// Want is the amount that waiting requests lack; 0 if the ask is only
	// meant to balance the holders' levels.
	Want Amount
	// Room is what the asker can store in its own share. The giver uses Level
	// and Parts of that share to balance the two.
	Room  Amount
	Level Amount
	Parts int
	// Partial means that less than Want is useful, too.
	Partial bool
	// Settled is the highest ask ID up to which tokens given by the same
	// holder can no longer be used, because they were spent, stored in the
	// asker's own capacity, or refused.
	Settled uint64
}

// Transfer is the answer to an Ask. The giver has already subtracted the
// tokens; if the message is lost, so are they.
type Transfer struct {
	Ask    uint64
	From   string
	Bucket Bucket
	// Amount is 0 if the giver has too little.
	Amount Amount
	// Tight means that outstanding transfers occupy so much of the giver's
	// capacity that it can hardly refill, so it wants a Settlement once the
	// tokens are used.
	Tight bool
	// Has is the giver's remaining amount, if it gave less than was wanted.
	Has Amount
	// Contended means that many instances ask for the remaining amount.
	Contended bool
	// RetryAfter is the time until the giver has the wanted amount again, if
	// it gave less.
	RetryAfter time.Duration
}

// Settlement tells a giver that everything it gave for asks up to an ID is
// used or stored. It is sent once. If it is lost, the giver only waits longer,
// and the tokens it would have returned are lost.
type Settlement struct {
	To     string
	From   string
	Bucket Bucket
	UpTo   uint64
	// Back is the amount returned of the ask with the ID Ask.
	Back Amount
	Ask  uint64
}
