package lead

import (
	"context"
	"maps"
	"math"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

// Resign ends the leadership of this entry, if it leads, and prevents further claims by it.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.resigning, e.resignBy = true, e.clk.Now()+successorWait
	e.mu.Unlock()
	e.wakeUp()
}

// StepDown ends the leadership of this entry in favor of a larger instance that follows it.
func (e *Elector) StepDown() {
	e.mu.Lock()
	e.stepDown = true
	e.mu.Unlock()
}

// RecordFollower records an entry that polled this one. An entry that is leaving is removed.
func (e *Elector) RecordFollower(f relay.Follower) {
	if f.Name == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving {
		delete(e.followers, f.Name) // a stopping entry is no candidate for successor
		return
	}
	now := e.clk.Now()
	c, ok := e.followers[f.Name]
	if !ok || now > c.LastSeen+elect.CandidateTimeout {
		c.UpSince = now
	}
	if !ok && len(e.followers) >= maxFollowers {
		e.forgetOldest()
	}
	c.Name, c.Addr, c.Rank, c.Memory, c.LastSeen = f.Name, f.Addr, f.Rank, f.Memory, now
	e.followers[f.Name] = c
}

// maxFollowers bounds the entries that are remembered: any client can poll under new names. A deployment has at
// most some 150.
const maxFollowers = 1024

// forgetOldest forgets the follower that has not polled for the longest time. The caller holds mu.
func (e *Elector) forgetOldest() {
	oldest := ""
	for name, c := range e.followers {
		if oldest == "" || c.LastSeen < e.followers[oldest].LastSeen {
			oldest = name
		}
	}
	delete(e.followers, oldest)
}

// HasFollower reports whether an entry has polled this one within a time.
func (e *Elector) HasFollower(name string, within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.followers[name]
	return ok && e.clk.Now()-c.LastSeen <= within
}

// FollowerAddrs returns the addresses of the entries that have polled this one since a time, by name.
func (e *Elector) FollowerAddrs(since time.Duration) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.followers))
	for name, c := range e.followers {
		if c.Addr != "" && c.LastSeen >= since {
			out[name] = c.Addr
		}
	}
	return out
}

// SmallestMemory returns the least memory in MiB of the entries that may lead next, with unknown for those that
// did not say theirs, or 0 if no entry follows this one.
func (e *Elector) SmallestMemory(unknown int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return elect.SmallestMemory(maps.Values(e.followers), e.clk.Now(), unknown)
}

// FollowerCount returns the number of entries that follow this one.
func (e *Elector) FollowerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.followers)
}

// nominate follows the designated successor and asks it to claim. If the call is lost, other entries
// claim a little later.
func (e *Elector) nominate(ctx context.Context, token uint64, next elect.Candidate) {
	if next.Addr == "" {
		return
	}
	e.mu.Lock()
	if e.leader == (Leader{Token: token}) {
		e.setLeader(Leader{Token: token, Name: next.Name, Addr: next.Addr})
	}
	e.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := e.peers.Announce(call, next.Addr, token, next.Name, next.Addr); err != nil {
		e.log.Warn().Err(err).Uint64("token", token).Str("next", next.Name).Msg("designated successor could not be asked to claim")
		return
	}
	e.log.Info().Uint64("token", token).Str("next", next.Name).Msg("designated successor was asked to claim")
}

// asFollower returns the description of this entry that polls carry. They ask for no configuration,
// which could be too large for their time limit.
func (e *Elector) asFollower() relay.Follower {
	e.mu.Lock()
	defer e.mu.Unlock()
	return relay.Follower{
		Name: e.id.Name, Addr: e.id.Addr, Centre: e.id.Centre, Version: math.MaxInt64, Rank: e.id.Rank, Leaving: e.resigning,
		Memory: e.id.Memory,
	}
}
