package membership

import (
	"time"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// rules are the decisions that the safety of confirmed age rests on. They
// are values so that the model test can replace one at a time and show that
// it breaks without it.
type rules struct {
	// proofStart returns from when a proof counts, of an exchange that was
	// sent and answered at these times.
	proofStart func(sent, answered time.Duration) time.Duration
	// inForceDelay is how long after a majority knew a revision it is in force.
	inForceDelay time.Duration
	// answeredByQuorum says whether the instances that answeredByQuorum a round are enough.
	answeredByQuorum func(config.Witnesses, func(id string) bool) bool
	// knownByQuorum says whether the instances that know a revision are enough.
	knownByQuorum func(config.Witnesses, func(id string) bool) bool
	// canDropPrevious says whether the list before may go, when a majority knows
	// revision known and the row that changed the list is at revision row.
	canDropPrevious func(known, row storage.Revision) bool
	// isInForce says whether a revision being in force puts another in force.
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
// while a change of the list isn't finished, of the list before as well.
// Without the second, a majority of the old list and one of the new could
// have no instance in common: one side would take parts over while the
// other still confirms the old holder.
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
