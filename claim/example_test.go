package claim_test

import (
	"fmt"
	"time"

	"foxtailspoke/claim"
)

// An instance mints an operation key and is the only one to run the operation,
// once. A repeated request with the key gets the stored response.
func Example() {
	minter := claim.NewMinter("a", []byte("a random secret of this incarnation"), claim.DefaultSettings())
	text := minter.Mint(0, "cebu-boatyard")
	key, err := claim.Parse(text)
	fmt.Println(key.Minter, err)

	digest := claim.Digest{1} // of method, path and body
	fmt.Println(minter.Begin(time.Second, "cebu-boatyard", key, digest).Verdict == claim.Run)
	fmt.Println(minter.Begin(time.Second, "cebu-boatyard", key, digest).Verdict == claim.InProgress)
	minter.Finish(2*time.Second, key, claim.Ran, &claim.Answer{Status: 201, Body: []byte("order 7")})
	repeat := minter.Begin(3*time.Second, "cebu-boatyard", key, digest)
	fmt.Println(repeat.Verdict == claim.Replay, repeat.Answer.Status, string(repeat.Answer.Body))

	// Requests of another workspace are refused, and no other instance runs the key.
	fmt.Println(minter.Begin(4*time.Second, "other-workspace", key, digest).Verdict == claim.Refused)
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
