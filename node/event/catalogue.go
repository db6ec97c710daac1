package event

import "go.uber.org/zap/zapcore"

// Each subsystem has its own range of numbers, so that no two events share one.
//
//	1000 process   1100 caller API   1200 dispatch and streaming   1300 claims
//	1400 platform  1500 leases       1600 configuration            1700 peers
//	1800 planner and orders          1900 upstream reports         2000 operators
//	2100 routed deployments

// Process events.
var (
	ProcessReady    = Event{1001, "process_ready", zapcore.InfoLevel, "The host serves callers."}
	ProcessDraining = Event{1002, "process_drain", zapcore.InfoLevel, "The host takes no new requests and finishes those in flight."}
	ProcessStopped  = Event{1003, "process_stopped", zapcore.InfoLevel, "The host has stopped; cut says how many requests it cut off (0 on a graceful shutdown), open how many callers' connections end with the process, active those of them with a request, new those without a byte, idle_closed how many the shutdown closed while idle."}
)

// All lists every event; docs/EVENTS.md is checked against it.
func All() []Event {
	var all []Event
	for _, part := range [][]Event{
		processEvents,
		keysEvents,
		callerEvents,
		dispatchEvents,
		claimEvents,
		upstreamEvents,
		operatorEvents,
		leaseEvents,
		configEvents,
		peerEvents,
		plannerEvents,
		routedEvents,
	} {
		all = append(all, part...)
	}
	return all
}

var processEvents = []Event{ProcessReady, ProcessDraining, ProcessStopped}
