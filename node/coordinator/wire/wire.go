// Package wire converts between the messages that hosts and the acting coordinator
// exchange, in package coordpb, and the types of the node, for both sides: loads,
// signals and holdings of upstreams, entries of the quarantine, holders of the lease and
// times. It contains the timing of reports that both sides rely on, holds no state and
// locks nothing.
//
// The work of each conversion grows with the content of its message alone.
package wire
