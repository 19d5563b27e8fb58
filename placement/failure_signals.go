package placement

import (
	"time"

	"foxtailspoke/health"
)

// sign is a way in which attempts fail. Which ways betray a spell differs: some
// servers reset connections or report failures at once, others hang; and some
// requests fail by themselves on any server, after the usual time of their work.
type sign int

const (
	// noSign: the result doesn't tell of the server.
	noSign sign = iota
	// quickError is a whole answer that reports a failure, too soon for the work
	// to have been done.
	quickError
	// slowError is one after about the time of the work.
	slowError
	// quickBreak and slowBreak are connections or answers that broke off.
	quickBreak
	slowBreak
	// silence is the lack of an answer.
	silence

	signCount
)

const (
	// quickShare is the part of the usual time of the work below which a failure
	// is too quick for it.
	quickShare = 0.2
	// followedFor is the time within which the next attempt at a server shows
	// whether a sign meant a spell. Of later ones some find that it has ended.
	followedFor = 1500 * time.Millisecond
	// followTrust is the belief in a spell up to which a sign is followed: what
	// comes after the first failure tells what that meant.
	followTrust = 0.15
	// priorWeight is the number of observations that the initial figures weigh.
	priorWeight = 6.0
	// mostFollowed is the weight of observations above which all are halved, so
	// that signs may change their meaning.
	mostFollowed = 60.0
	// surest bounds how sure a spell is after a sign.
	surest = 0.97
)

// initially is the share of attempts that fail after each sign as long as little
// is observed.
var initially = [signCount]float64{
	quickError: 0.75,
	slowError:  0.1,
	quickBreak: 0.75,
	slowBreak:  0.3,
	silence:    0.12,
}

// signOf returns what a result may betray. Took is the time until it, 0 if it
// isn't known, and work the usual time of such a request.
func signOf(r health.Result, took, work time.Duration) sign {
	quick := float64(took) < quickShare*float64(work) || took <= 0
	switch r {
	case health.ServerError:
		if quick {
			return quickError
		}
		return slowError
	case health.Incomplete, health.Mismatch:
		if quick {
			return quickBreak
		}
		return slowBreak
	case health.Timeout, health.Late:
		return silence
	case health.OK, health.ConnectFailed, health.Shed, health.NotRun, health.Cancelled:
	}
	return noSign
}

// signs learns for one service how often attempts at a server go on failing
// after each sign.
type signs struct {
	followed [signCount]followed
}

type followed struct {
	// failed of all attempts that came next at a server, fading.
	failed, all float64
	// before is the sum of the beliefs before the sign.
	before float64
}

// observe takes in whether the next attempt after a sign failed, and what was
// believed before the sign.
func (l *signs) observe(s sign, failed bool, before float64) {
	f := &l.followed[s]
	if f.all >= mostFollowed {
		f.failed, f.all, f.before = f.failed/2, f.all/2, f.before/2
	}
	f.all++
	f.before += before
	if failed {
		f.failed++
	}
}

// means is how much likelier a sign is in each condition than at a server that is
// well. The share that fails after it lies between those of two conditions, which
// then share what is believed.
func (l *signs) means(s sign) likelihoods {
	f := l.followed[s]
	fails := (f.failed + priorWeight*initially[s]) / (f.all + priorWeight)
	before := (f.before + priorWeight*usuallyBefore) / (f.all + priorWeight)
	var partly, spell float64
	if fails <= failsPartly {
		partly = max((fails-failsOtherwise)/(failsPartly-failsOtherwise), before)
	} else {
		spell = min((fails-failsPartly)/(failsInSpell-failsPartly), 1)
		partly = 1 - spell
	}
	partly, spell = max(partly*surest, before/2), max(spell*surest, before/2)
	well := max(1-partly-spell, 1-surest)
	usual := before / 2 / (1 - before)
	return likelihoods{well: 1, partly: partly / well / usual, spell: spell / well / usual}
}

// usuallyBefore is the belief that a server is ill which is used all the time.
const usuallyBefore = 0.01

// following is a sign whose meaning the next attempt at its server will show.
type following struct {
	sign   sign
	at     time.Duration
	before float64
}

// follow takes in the result of an attempt that took so long. Attempts that began
// before the sign say nothing of it.
func (s *server) follow(l *signs, r health.Result, now, took time.Duration) {
	f := s.following
	if f.sign == noSign {
		return
	}
	if now-f.at > followedFor {
		s.following = following{}
		return
	}
	if began := now - took; took <= 0 || began < f.at {
		return
	}
	if r == health.OK || signOf(r, took, took) != noSign {
		l.observe(f.sign, r != health.OK, f.before)
		s.following = following{}
	}
}
