package retry

// HedgeStep is how often an attempt must have been told as late before a second
// server is asked: at once while there is ample room to repeat, since a lookup
// that is repeated early is still in time; later where repeats are scarce.
func HedgeStep(room bool) int {
	if room {
		return 1
	}
	return 2
}
