package soak_test

import (
	"strings"
	"syscall"
	"time"

	"foxtailspoke/internal/standin/rowstore"
)

// recordFault records a fault of an instance for the history.
func (f *configFleet) recordFault(n int, kind configFault) { f.history.fault(n, kind, time.Now()) }

// restartAfter kills an instance and starts it again after a while.
func (f *configFleet) restartAfter(n int, after time.Duration) {
	f.recordFault(n, faultRestart)
	f.restart(f.processes[n], syscall.SIGKILL, after)
}

func (f *configFleet) pauseFor(n int, d time.Duration) {
	f.recordFault(n, faultPause)
	f.processes[n].signal(syscall.SIGSTOP)
	f.wg.Go(func() {
		time.Sleep(d)
		f.recordFault(n, faultPause)
		f.processes[n].signal(syscall.SIGCONT)
	})
}

// failStoreFor has the store fail calls of the instances for which only returns true.
func (f *configFleet) failStoreFor(d time.Duration, fault rowstore.Fault, only func(n int) bool) {
	f.recordStoreFaults(only)
	f.store.SetFault(f.faultOf(fault, only))
	f.wg.Go(func() {
		time.Sleep(d)
		f.store.SetFault(nil)
		f.recordStoreFaults(only)
	})
}

// slowStoreFor delays the store's answers, before or after they are made.
func (f *configFleet) slowStoreFor(d, delay time.Duration, stale bool) {
	set := f.store.SetDelay
	if stale {
		set = f.store.SetResponseDelay
	}
	f.recordStoreFaults(everyInstance)
	set(delay)
	f.wg.Go(func() {
		time.Sleep(d)
		set(0)
		f.recordStoreFaults(everyInstance)
	})
}

func (f *configFleet) endFaults() {
	f.store.SetFault(nil)
	f.store.SetDelay(0)
	f.store.SetResponseDelay(0)
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
	}
}

func (f *configFleet) shutdown() {
	f.cluster.shutdown()
	for _, s := range append(f.storeServers, f.servers) {
		s.CloseClientConnections()
		s.Close()
	}
}

// returnStoreApart has the store answer nobody for alone, then only the first few instances for as
// long again, and then all.
func (f *configFleet) returnStoreApart(alone time.Duration, first, count int) {
	stages := []func(n int) bool{everyInstance, func(n int) bool { return (n-first+f.size)%f.size >= count }}
	f.wg.Go(func() {
		for _, lost := range stages {
			f.store.SetFault(f.faultOf(rowstore.NoResponse, lost))
			for end := time.Now().Add(alone); time.Now().Before(end); {
				f.recordStoreFaults(lost)
				select {
				case <-time.After(contactPeriod / 4):
				case <-f.stop:
					return
				}
			}
		}
		f.store.SetFault(nil)
		f.recordStoreFaults(stages[len(stages)-1])
	})
}

// recordStoreFaults records a fault of the store for the instances for which only returns true.
func (f *configFleet) recordStoreFaults(only func(n int) bool) {
	for n := range f.processes {
		if only(n) {
			f.recordFault(n, faultStore)
		}
	}
}

// faultOf returns the function by which the store fails calls of the instances for which only
// returns true.
func (f *configFleet) faultOf(fault rowstore.Fault, only func(n int) bool) func(ip string) rowstore.Fault {
	ips := make(map[string]bool)
	for n := range f.processes {
		ips[f.instanceIP(n)] = only(n)
	}
	return func(ip string) rowstore.Fault {
		if ips[ip] {
			return fault
		}
		return rowstore.NoFault
	}
}

func everyInstance(int) bool { return true }

// configFaultNames are the values of the flag config.faults.
var configFaultNames = []string{"none", "series", "kill", "kill-share", "kill-all", "pause", "pause-many", "pause-through-changes", "silent", "slow", "stale", "refuse-some", "return-apart"}

// play changes the configuration beside faults for d.
func (f *configFleet) play(d time.Duration) {
	names := configFaultNames
	if *configFaults != "" {
		names = strings.Split(*configFaults, ",")
	}
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		name := names[f.randomInt(len(names))]
		before := f.randomInt(3) == 0
		if before {
			f.injectConfigFault(name)
			time.Sleep(f.randomDuration(0, 1500*time.Millisecond))
		}
		f.change()
		if !before {
			time.Sleep(f.randomDuration(0, 50*time.Millisecond))
			f.injectConfigFault(name)
		}
		time.Sleep(f.randomDuration(300*time.Millisecond, 3500*time.Millisecond))
	}
}

func (f *configFleet) injectConfigFault(name string) {
	f.history.injected(name)
	size := len(f.processes)
	switch name {
	case "series":
		for range 4 + f.randomInt(8) {
			time.Sleep(f.randomDuration(150*time.Millisecond, 400*time.Millisecond))
			f.change()
		}
	case "kill":
		for range 1 + f.randomInt(3) {
			f.restartAfter(f.randomInt(size), f.randomDuration(0, 2*time.Second))
		}
	case "kill-share":
		for n := range size {
			if f.randomInt(100) < 55 {
				f.restartAfter(n, 2*time.Second)
			}
		}
	case "kill-all":
		for n := range size {
			f.restartAfter(n, time.Second)
		}
	case "pause":
		f.pauseFor(f.randomInt(size), f.randomDuration(time.Second, 4*time.Second))
	case "pause-many":
		first, count := f.randomInt(size), 1+f.randomInt(size/3)
		for i := range count {
			f.pauseFor((first+i)%size, f.randomDuration(time.Second, 4*time.Second))
		}
	case "pause-through-changes":
		first := f.randomInt(size)
		for i := range 1 + size/3 {
			f.pauseFor((first+i)%size, 1500*time.Millisecond)
		}
		for range 2 + f.randomInt(3) {
			f.change()
			time.Sleep(f.randomDuration(100*time.Millisecond, 400*time.Millisecond))
		}
		time.Sleep(1500*time.Millisecond + configApplyBound)
	case "silent":
		f.failStoreFor(f.randomDuration(500*time.Millisecond, 3*time.Second), rowstore.NoResponse, everyInstance)
	case "slow":
		f.slowStoreFor(f.randomDuration(time.Second, 3*time.Second), f.randomDuration(100*time.Millisecond, 1200*time.Millisecond), false)
	case "stale":
		f.slowStoreFor(f.randomDuration(time.Second, 3*time.Second), f.randomDuration(100*time.Millisecond, 800*time.Millisecond), true)
	case "return-apart":
		f.returnStoreApart(f.randomDuration(4*time.Second, 7*time.Second), f.randomInt(size), 1+f.randomInt(3))
	case "refuse-some":
		third := f.randomInt(3)
		faults := []rowstore.Fault{rowstore.Unavailable, rowstore.TooManyRequests, rowstore.ConnectionReset, rowstore.NoResponse}
		f.failStoreFor(f.randomDuration(2*time.Second, 5*time.Second), faults[f.randomInt(len(faults))], func(n int) bool { return n%3 == third })
	}
}
