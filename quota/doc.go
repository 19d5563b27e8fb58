// Package quota enforces rate and burst limits over the whole fleet.
//
// Workspaces are grouped into shards. Each shard has a row in the control
// table that divides 60 parts of the workspaces' limits among the instances
// that hold it. A holder of p parts refills at rate·p/60 up to burst·p/60.
// Tokens move between instances by StartAsk, HandleAsk and HandleTransfer;
// parts move by a write of the row (Assign).
//
// # Safety
//
// In any time w the fleet admits at most burst + rate·w per bucket. Let S be
// the sum of all tokens that can still be spent: those in the buckets of
// instances whose grants are active, and in transfers that can still be used.
// It is sufficient that
//
//	(1) S never exceeds burst, and
//	(2) S rises by at most rate·t in a time t, and falls by what is admitted.
//
// S then stays at or below the level of a single bucket with the whole limit
// that sees the same admissions.
//
// Within one row, (1) and (2) hold because each holder keeps level +
// outstanding ≤ burst·p/60, where outstanding is what it gave away and may
// still be used elsewhere, and because elapsed time is scaled down for clocks
// that may be fast by ε. Given tokens can be used until the asker's clock has
// advanced by T from the start of its ask. At the giver they occupy capacity
// for T·(1+ε)² on its own clock, or until the asker has reported them as
// settled.
//
// Between rows, the former holder of a part uses it until the new row is in
// force, whether that holder is frozen, partitioned or gone (package
// membership). Let F be the time for which a configuration stays fresh, and c
// the real time at which a majority of the witnesses know the row:
//
//	last use by the former holder    <  c + F·(1+ε)            =: I
//	last use of tokens it gave       <  I + T·(1+ε)
//	first token of the new holder    >= I + T·(1+ε)²/(1+ε)
//
// The new holder learns at I or later that the row is in force, and starts
// empty when its clock, which may be fast, has advanced by T·(1+ε)² from then.
// So the use of the old part ends before the new holder gains its first token.
// A holder that resumes after I may still have tokens in its buckets, but it
// can't be fresh before it has the new row, and then loses the share of the
// lost parts. If it missed rows in which the parts were taken away and given
// back, the entry has another Since, and so starts empty.
//
// While a change of a plan spreads, some instances use the old limit and some
// the new one, so the bound is the larger of both until T after the change is
// in force.
//
// A shard's first row has no former holders, so that nothing is in use when its
// holders learn it: S is 0. They start at once and full, which raises S to burst.
// Otherwise requests would be refused as over the rate before any was admitted.
//
// Rebalancing (Rebalance) and returning tokens (Settlement.Back) follow the
// same rules: a stored token counts against the capacity of the instance that
// stores it, and a returned one ends the outstanding transfer that occupied
// the giver's capacity.
//
// # Refusals within the rate
//
// A full holder gains nothing while another is empty. So holders balance
// their levels ahead of need, and instances ask the holders in turn. Where
// burst·p/60 is about one token or less, a whole token may be split among
// several holders. So a Search asks each holder once for the whole missing
// amount and then, if the fractions add up to enough, for those. When a
// workspace exceeds its limit, collecting fractions is futile, so holders that
// have deferred many askers report the bucket as contended. A limit of less
// than one token per holder costs several messages per request, and nothing is
// admitted while a needed holder is down; HolderCount therefore assigns few
// holders to shards with small bursts.
//
// # Usage
//
// On every new row, and when a write has taken effect, call SetGrants with the
// result of Grants. For each request call NewSearch, then Next until it admits
// or refuses. After each Next and HandleTransfer, send what DrainSettlements
// returns; after each Next and HandleAsk, send what Rebalance returns. All of
// this is only allowed while the configuration is fresh.
package quota
