package retry

// HedgeStep is how often an attempt must have been told as late before a second
// server is asked: twice while there is ample room to repeat, since a lookup
// that is repeated early is still in time; later where repeats are scarce. Asking
// at the first step already took five times the repeats, and orders that met
// servers busy with them were lost.
func HedgeStep(room bool) int {
	if room {
		return 2
	}
	return 3
}
