package lead

import (
	"context"
	"errors"
	"syscall"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
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

// setUnresponsive records whether the leader is unresponsive.
func (e *Elector) setUnresponsive(is bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = is
}
