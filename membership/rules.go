package membership

import (
	"time"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// rules are the decisions on which the safety of confirmed age depends. They are
// values so that the mutation test can replace one at a time and check that the
// model then fails.
type rules struct {
	// proofStart returns the start time of a proof from the times at which its
	// exchange was sent and answered.
	proofStart func(sent, answered time.Duration) time.Duration
	// inForceDelay is the time from when a majority knows a revision until it
	// is in force.
	inForceDelay time.Duration
	// answeredByQuorum says whether the instances that answered a round
	// form a quorum.
	answeredByQuorum func(config.Witnesses, func(id string) bool) bool
	// knownByQuorum says whether the instances that know a revision form a
	// quorum.
	knownByQuorum func(config.Witnesses, func(id string) bool) bool
	// canDropPrevious says whether the previous list of witnesses may be
	// dropped when a majority knows revision known and the row that changed
	// the list has revision row.
	canDropPrevious func(known, row storage.Revision) bool
	// isInForce says whether a revision is in force, given the highest one
	// that is.
	isInForce func(inForce, revision storage.Revision) bool
}

func defaultRules(s Settings) rules {
	return rules{
		proofStart:       func(sent, _ time.Duration) time.Duration { return sent },
		inForceDelay:     s.InForceDelay(),
		answeredByQuorum: jointMajority,
		knownByQuorum:    jointMajority,
		canDropPrevious:  func(known, row storage.Revision) bool { return known >= row },
		isInForce:        func(inForce, revision storage.Revision) bool { return revision <= inForce },
	}
}

// jointMajority says whether has holds for a majority of the witnesses and,
// while a change of the list is in progress, for a majority of the previous list
// as well. Without the second condition, a majority of the old list and one of
// the new list might not intersect: one side would take over parts while the
// other still confirms the previous holder.
func jointMajority(w config.Witnesses, has func(id string) bool) bool {
	if len(w.Previous) > 0 && !majority(w.Previous, has) {
		return false
	}
	return majority(w.Members, has)
}

func majority(ids []string, has func(id string) bool) bool {
	count := 0
	for _, id := range ids {
		if has(id) {
			count++
		}
	}
	return 2*count > len(ids)
}
