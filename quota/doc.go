// Package quota counts rate and burst over the whole fleet.
//
// A shard of workspaces has a row in the control table that says which
// instances hold how many of 60 parts of the workspaces' limits. A holder of
// p parts refills rate·p/60 up to burst·p/60. Tokens move between instances
// by Ask, Transfer and Accept; parts move by a write of the row (Assign).
//
// # What holds
//
// Over any time w the fleet admits at most burst + rate·w per bucket. Let S
// be the sum of all tokens that can still be spent: in the buckets of
// instances whose grants count, and in transfers that can still be used. It
// is enough that
//
//	(1) S never exceeds burst, and
//	(2) S rises by at most rate·t in a time t, and falls by what is admitted.
//
// For then S stays below the level of one bucket of the whole limit that sees
// the same admissions.
//
// Within one row, (1) and (2) hold because each holder keeps level + given ≤
// burst·p/60, where given is what it gave and what may still be used
// elsewhere, and because clocks that may be fast by ε count for less. Given
// tokens can be used until the asker's clock has counted T from the start of
// its ask; the giver keeps their place for T·(1+ε)² on its own clock, or
// until the asker has said that they are settled.
//
// Between rows, the former holder of a part acts on it until the new row is
// in force, whether it is frozen, cut off or gone (package membership). With c
// for the time at which a majority of the witnesses know the row, in truth:
//
//	last act of the former holder  <  c + F·(1+ε)            =: I
//	last use of what it gave       <  I + T·(1+ε)
//	first token of the new holder  >= I + T·(1+ε)²/(1+ε)
//
// The new holder learns of I at I or later, and starts empty when its clock,
// which may be fast, has counted T·(1+ε)² from then. So the use of the old
// part ends before the new one gains its first token. A holder that wakes
// after I may find tokens in its buckets, but can't be fresh before it has
// the new row, and then loses the share that the lost parts had. It may have
// missed rows in which the parts were gone and came back; then the entry has
// another Since, and starts empty.
//
// While a plan's change spreads, some instances count by the old limit and
// some by the new one, so the bound is the larger of both until T after the
// change is in force.
//
// Evening out (Balance) and giving back (Settlement.Back) move tokens within
// the same rules: a stored token counts against the capacity of whoever stores
// it, a returned one ends the gift that kept its place.
//
// # What is refused although it is inside the rate
//
// A holder that is full gains nothing while another one is empty; so holders
// even out their levels ahead of need, and other instances ask the holders in
// turn. Where burst·p/60 is little more than a token or less, a whole token
// may lie in pieces at several holders; so a Search asks each holder once for
// all that lacks, and then, if the pieces suffice, for these. In a flood nobody
// finds pieces of use, so holders that put off many askers say so. A limit of
// less than a token a holder costs several messages a request, and nothing
// is admitted while a needed holder is away; HolderCount gives few holders to
// shards of small bursts.
//
// # How to drive it
//
// On every new row, and when a write has come in force: SetGrants with Grants.
// For each request: NewSearch, then Next until it admits or refuses; after
// each Next and Accept send what Settlements returns, and after each Next and
// Give what Balance returns. All of it only while the configuration is fresh.
package quota
