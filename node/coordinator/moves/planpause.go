package moves

import (
	"runtime"
	"syscall"
	"time"
)

// planPauseFactor is how long the next plan waits, as a multiple of the processor time that
// the last one took, so that plans over thousands of upstreams leave the processor to
// permits.
const planPauseFactor = 20

// pauseAfter runs a plan and returns how long the next one should wait.
func pauseAfter(plan func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	plan()
	return planPauseFactor * (threadTime() - began)
}

// rusageThread makes getrusage(2) report the calling thread alone.
const rusageThread = 1

// threadTime returns the processor time that this thread has used. Unlike elapsed time it
// does not grow while the thread waits for a processor: a busy host would plan later by
// many times that wait.
func threadTime() time.Duration {
	var used syscall.Rusage
	if syscall.Getrusage(rusageThread, &used) != nil {
		return 0 // then plans do not wait for each other
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
