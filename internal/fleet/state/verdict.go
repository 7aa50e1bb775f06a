package state

import (
	"fmt"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
)

// Kind is the kind of a verdict.
type Kind uint8

// Kinds of verdicts.
const (
	// Accepted says that the change is in force.
	Accepted Kind = iota + 1
	// Duplicate says that the same change was judged before. Verdict.First and
	// Verdict.Of tell where and how.
	Duplicate
	// Conflict says that the change is based on another version than the current one.
	Conflict
	// Refused says that a rule forbids the change.
	Refused
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "accepted", "duplicate", "conflict", "refused"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Reason is the rule that a refused change breaks.
type Reason uint8

// Reasons of refusals.
const (
	// NoReason is the reason of verdicts that are not refusals.
	NoReason Reason = iota
	// Malformed records miss a field or carry an impossible value.
	Malformed
	// UnknownBody records have a body that this version does not know.
	UnknownBody
	// NewerSchema records have a newer schema version than Schema.
	NewerSchema
	// OutOfOrder records are at or before the applied offset.
	OutOfOrder
	// NotFound says that the named object does not exist.
	NotFound
	// BadBudget says that the budget could never allow a drain.
	BadBudget
	// BadWeight says that the weight is 0.
	BadWeight
	// InUse says that other objects depend on the object.
	InUse
	// PoolFixed says that the pool of an instance changes only by a move.
	PoolFixed
	// NotDrained says that the instance is in service or not yet drained.
	NotDrained
	// Busy says that the instance is under a grant.
	Busy
	// BadTarget says that the target pool of a move does not exist or is the
	// instance's own pool, or that the grant has none.
	BadTarget
	// OverBudget says that the budget allows no further unavailable instance.
	OverBudget
	// OverLimit says that the wave's limit allows no further drain.
	OverLimit
	// WrongGrant says that the instance is under another grant or under none.
	WrongGrant
	// WrongPhase says that the object's phase does not allow the change.
	WrongPhase
	// NotMember says that the incarnation is not a member.
	NotMember
	// NameTaken says that the name is a member with another incarnation.
	NameTaken
	// Gone says that the incarnation has left or was fenced.
	Gone
	// NotEvicted says that a member must be evicted before it is fenced.
	NotEvicted
	// OldBoot says that the boot number is not the newest or not a new one.
	OldBoot
	// Exists says that a job of this name was submitted.
	Exists
	// NotIdempotent says that a job that may have run must not run again.
	NotIdempotent
)

var reasons = [...]string{
	"none", "malformed record", "unknown body", "newer schema", "offset out of order",
	"not found", "budget allows no drain", "weight is 0", "in use",
	"pool changes only by a move", "not drained", "under a grant", "bad target pool",
	"budget exhausted", "wave limit reached", "wrong grant", "wrong phase",
	"not a member", "name taken", "incarnation gone", "not evicted",
	"boot number not new", "exists", "not idempotent",
}

// String returns the reason in words.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "unknown"
}

// Verdict is the judgement of one record, which every reader reaches alike. It is
// the error that the writer of a change returns if Err is not nil.
type Verdict struct {
	Kind Kind
	// Current is the current version of the object of a Conflict, 0 if there is none.
	Current uint64
	// Reason is the reason of a Refused verdict.
	Reason Reason
	// Scope is the limit that was reached if Reason is OverBudget.
	Scope budget.Scope
	// First is the offset of the first record of a Duplicate change.
	First uint64
	// Of is the kind of the first verdict of a Duplicate change. Current, Reason and
	// Scope are those of the first verdict.
	Of Kind
}

// OK says whether the change is in force, by this record or by an earlier one.
func (v Verdict) OK() bool {
	return v.Kind == Accepted || v.Kind == Duplicate && v.Of == Accepted
}

// Err returns nil if the change is in force, otherwise the verdict.
func (v Verdict) Err() error {
	if v.OK() {
		return nil
	}
	return v
}

// Error describes the verdict.
func (v Verdict) Error() string {
	kind := v.Kind
	if kind == Duplicate {
		kind = v.Of
	}
	switch kind {
	case Conflict:
		return fmt.Sprintf("change conflicts with current version %d", v.Current)
	case Refused:
		if v.Reason == OverBudget {
			return fmt.Sprintf("change refused: %s of the %s", v.Reason, v.Scope)
		}
		return fmt.Sprintf("change refused: %s", v.Reason)
	}
	return fmt.Sprintf("change %s", v.Kind)
}

// repeated returns the verdict of a repeated change whose first verdict is v. The
// repetition of a duplicate names the same first record as the duplicate.
func (v Verdict) repeated(first uint64) Verdict {
	if v.Kind == Duplicate {
		return v
	}
	v.First, v.Of, v.Kind = first, v.Kind, Duplicate
	return v
}

// code codes the fields that a first verdict can have.
func (v *Verdict) code(c *coder) {
	number(c, &v.Kind)
	c.u64(&v.Current)
	number(c, &v.Reason)
	number(c, &v.Scope)
	c.u64(&v.First)
	number(c, &v.Of)
}

var (
	accepted  = Verdict{Kind: Accepted}
	malformed = refused(Malformed)
)

func refused(r Reason) Verdict { return Verdict{Kind: Refused, Reason: r} }

func conflict(current uint64) Verdict { return Verdict{Kind: Conflict, Current: current} }

// already is the verdict of a record whose effect was reached by an earlier record
// with another id.
func already(first uint64) Verdict {
	return Verdict{Kind: Duplicate, First: first, Of: Accepted}
}
