package lead

import (
	"context"
	"errors"
	"syscall"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

const (
	// successorAsks is how often an entry that has just resigned is asked for its successor, which
	// claims within some 30 ms, and successorPause the time between.
	successorAsks  = 3
	successorPause = 50 * time.Millisecond
	// successorMemory is how long an entry that named no successor is not asked again.
	successorMemory = 300 * time.Millisecond
)

// answer is what a poll of the leader shows.
type answer int

const (
	// answerLeads means that the entry leads and renews.
	answerLeads answer = iota
	// answerOverdue means that the entry leads and its next renewal is overdue.
	answerOverdue
	// answerCutOff means that the entry leads and that its last renewal is older than
	// elect.CutOffTimeout. Its renewals may be stored and answered late.
	answerCutOff
	// answerNone means that there is no answer within pollTimeout.
	answerNone
	// answerNo means that the entry does not lead, or that its process has ended.
	answerNo
)

// pollLeader requests the leader's digest.
func (e *Elector) pollLeader(ctx context.Context, leader Leader) answer {
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := e.clk.Now()
	d, err := e.peers.Digest(call, leader.Addr, e.asFollower())
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.view.ProcessGone = true
			return answerNo
		}
		return answerNone
	}
	e.view.ProcessGone = false
	if !d.Leads {
		e.adoptLeader(d)
		return answerNo
	}
	e.onDigest(d)
	e.pollPause = max(pollInterval, d.PollInterval)
	// A leader that can't renew is about to lose its lease, so a claim costs it nothing.
	if e.view.CutOff = d.LeaseAge > elect.CutOffTimeout; e.view.CutOff {
		return answerCutOff
	}
	e.view.LastChange = max(e.view.LastChange, sent-d.LeaseAge)
	if d.LeaseAge > overdueAge {
		return answerOverdue
	}
	return answerLeads
}

// applyAnswer records whether the leader is unresponsive by its answer to a poll. For answerCutOff
// the topic decides. An answer says nothing about a leader that was announced since the poll.
func (e *Elector) applyAnswer(polled Leader, a answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Token != polled.Token {
		return
	}
	if a == answerNone {
		e.misses++
		e.unresponsive = e.unresponsive || e.misses >= maxMisses
		return
	}
	e.misses = 0
	if a != answerCutOff {
		e.unresponsive = a == answerNo
	}
}

// adoptLeader follows a later leader that an entry which does not lead has named.
func (e *Elector) adoptLeader(d relay.Digest) {
	if d.Addr != "" && d.Addr != e.id.Addr {
		e.HandleAnnouncement(d.Token, "", d.Addr)
	}
}

// AskForSuccessor asks an entry that no longer leads which entry does, and reports whether this entry
// then follows a later leader. Concurrent calls share one question.
func (e *Elector) AskForSuccessor(ctx context.Context, former Leader) bool {
	if !e.beginAsking(ctx) {
		return false
	}
	defer e.endAsking()
	for range successorAsks {
		if e.Leader().Token != former.Token {
			return true
		}
		if former.Addr == "" || former.IsSelf || former.Token == e.noSuccessor && e.clk.Now() < e.noSuccessorUntil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		d, err := e.peers.Digest(call, former.Addr, e.asFollower())
		cancel()
		if err != nil || d.Leads {
			break
		}
		if e.adoptLeader(d); e.Leader().Token == former.Token {
			clock.Pause(ctx, e.clk, successorPause)
		}
	}
	if e.Leader().Token != former.Token {
		return true
	}
	e.noSuccessor, e.noSuccessorUntil = former.Token, e.clk.Now()+successorMemory
	return false
}

// beginAsking waits until no other call asks. It returns false if the context has ended first.
func (e *Elector) beginAsking(ctx context.Context) bool {
	for {
		e.mu.Lock()
		other := e.asking
		if other == nil {
			e.asking = make(chan struct{})
		}
		e.mu.Unlock()
		if other == nil {
			return true
		}
		select {
		case <-other:
		case <-ctx.Done():
			return false
		}
	}
}

func (e *Elector) endAsking() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.asking)
	e.asking = nil
}

// setUnresponsive records whether the leader is unresponsive.
func (e *Elector) setUnresponsive(is bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = is
}
