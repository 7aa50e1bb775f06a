package guard

import (
	"cmp"
	"slices"
	"time"
)

// state is the state of a connection at the time of a decision.
type state struct {
	conn *Conn
	kind Kind
	seq  uint64 // in order of acceptance
	held int64
	// kept is the part of held that no request needs.
	kept int64
	idle time.Duration // since the last progress
	// complete is set while a whole request is being answered, and served once any was answered.
	complete, served bool
	// writing is set while the client does not take what is written.
	writing bool
}

// chooseHolders returns the connections to close so that bytes are freed: unfinished requests that have
// stalled, then other unfinished ones, the largest first, and whole ones only if nothing else is left.
func chooseHolders(all []state, bytes int64) []state {
	rank := func(s state) int {
		switch {
		case s.complete:
			return 2
		case s.idle >= stallTime:
			return 0
		}
		return 1
	}
	all = slices.DeleteFunc(all, func(s state) bool { return s.held <= 0 })
	slices.SortFunc(all, func(a, b state) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.held, a.held), cmp.Compare(a.seq, b.seq))
	})
	for i, s := range all {
		if bytes <= 0 {
			return all[:i]
		}
		bytes -= s.held
	}
	return all
}

// chooseOldest returns the connection of one port to close when another one exceeds its number, or false
// if none can be closed. The order is: idle connections of callers, or those of entries that never served
// a call; then unfinished requests; each with the longest time without progress first. A whole request that
// is being answered is chosen last, and only if its client has not read for progressTimeout or the answer takes
// writeTimeout. Connections between entries that have served calls are chosen only after they were idle for
// longer than entries keep them.
func chooseOldest(all []state) (state, bool) {
	const never = 4
	rank := func(s state) int {
		switch {
		case s.writing && s.idle >= progressTimeout:
			return 2
		case s.complete && s.idle >= writeTimeout:
			return 3
		case s.complete:
			return never
		case s.kind == Entries && s.served && s.held-s.kept < peerStallBytes && s.idle < peerIdleTime:
			return never
		case s.held == 0 || s.kind == Entries && !s.served:
			return 0
		}
		return 1
	}
	if len(all) == 0 {
		return state{}, false
	}
	s := slices.MinFunc(all, func(a, b state) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.idle, a.idle), cmp.Compare(b.held, a.held), cmp.Compare(a.seq, b.seq))
	})
	return s, rank(s) != never
}

// hasStalled reports whether a connection has made no progress with an unfinished request for too long.
func hasStalled(s state) bool {
	least := int64(1)
	if s.kind == Entries {
		least = peerStallBytes
	}
	return !s.complete && s.held-s.kept >= least && s.idle >= progressTimeout
}
