package quota

import "time"

// Ask is the message by which an instance asks a holder for tokens. It is
// sent once; sending it again may lose tokens but never doubles them.
type Ask struct {
	// ID is unique among the asks of one instance.
	ID     uint64
	From   string
	Bucket Bucket
	// Want is what lacks for waiting requests; 0 if the ask is only meant to
	// even out the holders' levels.
	Want Amount
	// Room is what the asker can store in its own share, whose Level and
	// Parts let the giver even out the two.
	Room  Amount
	Level Amount
	Parts int
	// Partial means that less than Want is of use, too.
	Partial bool
	// Settled tells that nothing given for this and lower ids by the same
	// holder can be used any more, because it was spent, stored in the
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
	// Tight means that the giver can hardly gain while the tokens keep their
	// place, and wants a Settlement when they are used.
	Tight bool
	// Has is what the giver has left, if it gave less than was wanted.
	Has Amount
	// Contended means that many instances ask for what is left.
	Contended bool
	// RetryAfter is when the giver will have as much again, if it gave less.
	RetryAfter time.Duration
}

// Settlement tells a giver that all it gave for asks up to an id is used or
// stored. It is sent once; if it is lost the giver only waits longer, and what
// should have come back is lost.
type Settlement struct {
	To     string
	From   string
	Bucket Bucket
	UpTo   uint64
	// Back is what the asker gives back of the ask with the id Ask.
	Back Amount
	Ask  uint64
}
