package claim_test

import (
	"fmt"
	"time"

	"foxtailspoke/claim"
)

// An instance mints an operation key; only it runs the operation, once. The
// second request with the key gets the first one's answer.
func Example() {
	minter := claim.NewMinter("a", []byte("a secret of this start, kept in memory"), claim.DefaultSettings())
	text := minter.Mint(0, "cebu-boatyard")
	key, err := claim.Parse(text)
	fmt.Println(key.Minter, err)

	order := claim.Digest{1} // of method, path and body
	fmt.Println(minter.Begin(time.Second, "cebu-boatyard", key, order).Verdict == claim.Run)
	fmt.Println(minter.Begin(time.Second, "cebu-boatyard", key, order).Verdict == claim.InProgress)
	minter.Finish(2*time.Second, key, claim.Ran, &claim.Answer{Status: 201, Body: []byte("order 7")})
	again := minter.Begin(3*time.Second, "cebu-boatyard", key, order)
	fmt.Println(again.Verdict == claim.Replay, again.Answer.Status, string(again.Answer.Body))

	// Another workspace can't use it, and no other instance ever runs it.
	fmt.Println(minter.Begin(4*time.Second, "somebody-else", key, order).Verdict == claim.Refused)
	d, forward := claim.RouteToMinter(key, claim.PeerEnded)
	fmt.Println(forward, d.Verdict == claim.UnknownOutcome)
	// Output:
	// a <nil>
	// true
	// true
	// true 201 order 7
	// true
	// false true
}
