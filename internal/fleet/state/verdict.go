package state

import (
	"fmt"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
)

// Kind is the kind of a verdict.
type Kind uint8

// Kinds of verdicts.
const (
	// Accepted means that the change is in force.
	Accepted Kind = iota + 1
	// Duplicate means that the same change was judged before. Verdict.FirstOffset and
	// Verdict.FirstKind are the offset and the kind of that verdict.
	Duplicate
	// Conflict means that the change is based on another version than the current one.
	Conflict
	// Refused means that a rule forbids the change.
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
	// Malformed records lack a field or carry an invalid value.
	Malformed
	// UnknownBody records have a body that this version does not support.
	UnknownBody
	// NewerSchema records have a newer schema version than Schema.
	NewerSchema
	// OutOfOrder records are at or before the applied offset.
	OutOfOrder
	// NotFound means that the object, or another one that the change needs, does not
	// exist.
	NotFound
	// BadBudget means that the budget could never allow a drain.
	BadBudget
	// BadWeight means that the weight is 0.
	BadWeight
	// InUse means that other objects depend on the object.
	InUse
	// PoolFixed means that the pool of an instance can be changed only by a move.
	PoolFixed
	// NotDrained means that the instance is in service or not yet drained.
	NotDrained
	// UnderGrant means that the instance is under a grant.
	UnderGrant
	// BadTarget means that the target pool of a move does not exist or is the current
	// pool of the instance, or that the grant is for a reboot instead of a move or the
	// other way round.
	BadTarget
	// OverBudget means that the budget allows no further unavailable instance.
	OverBudget
	// OverLimit means that the limit of the wave allows no further drain.
	OverLimit
	// WrongGrant means that the instance is under another grant or under none.
	WrongGrant
	// WrongPhase means that the phase of the object does not allow the change.
	WrongPhase
	// NotMember means that the incarnation is not a member, or not an active one where
	// the record needs that.
	NotMember
	// NameTaken means that a member on another address has the name.
	NameTaken
	// IncarnationGone means that the incarnation has left, or was replaced or fenced.
	IncarnationGone
	// NotEvicted means that a member can't be fenced because it is not evicted.
	NotEvicted
	// OldBoot means that the boot number is below the newest observed one or, for a
	// return, not above the one before the reboot.
	OldBoot
	// Exists means that a job with this name exists and has not ended.
	Exists
	// NotIdempotent means that the job may have run and must not run again.
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

// String returns the text of the reason.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "unknown"
}

// Verdict is the judgement of one record, which is the same for every reader. It is also
// the error for the writer of a change that is not in force (see Err).
type Verdict struct {
	Kind Kind
	// Current is the current version of the object, or the current token or lease
	// offset, if the kind is Conflict. It is 0 if there is none.
	Current uint64
	// Reason is the rule that the change breaks if the kind is Refused.
	Reason Reason
	// Scope is the scope whose limit was reached if Reason is OverBudget.
	Scope budget.Scope
	// FirstOffset is the offset of the first record of the change if the kind is
	// Duplicate.
	FirstOffset uint64
	// FirstKind is the kind of the first verdict on the change if the kind is Duplicate.
	// Current, Reason and Scope are those of the first verdict then.
	FirstKind Kind
}

// OK reports whether the change is in force, by this record or by an earlier one.
func (v Verdict) OK() bool {
	return v.Kind == Accepted || v.Kind == Duplicate && v.FirstKind == Accepted
}

// Err returns nil if the change is in force, otherwise the verdict.
func (v Verdict) Err() error {
	if v.OK() {
		return nil
	}
	return v
}

// Error describes the verdict. A duplicate has the text of the first verdict.
func (v Verdict) Error() string {
	kind := v.Kind
	if kind == Duplicate {
		kind = v.FirstKind
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

// asDuplicate returns the verdict on a repeated change. v is the verdict on its first
// record at the offset first. If v is a duplicate itself, the result refers to the same
// first record as v.
func (v Verdict) asDuplicate(first uint64) Verdict {
	if v.Kind == Duplicate {
		return v
	}
	v.FirstOffset, v.FirstKind, v.Kind = first, v.Kind, Duplicate
	return v
}

// code codes the fields that a first verdict can have.
func (v *Verdict) code(c *coder) {
	codeEnum(c, &v.Kind)
	c.u64(&v.Current)
	codeEnum(c, &v.Reason)
	codeEnum(c, &v.Scope)
	c.u64(&v.FirstOffset)
	codeEnum(c, &v.FirstKind)
}

var (
	accepted  = Verdict{Kind: Accepted}
	malformed = refused(Malformed)
)

func refused(r Reason) Verdict { return Verdict{Kind: Refused, Reason: r} }

func conflict(current uint64) Verdict { return Verdict{Kind: Conflict, Current: current} }

// duplicateOf returns the verdict on a record whose effect an earlier record with another
// id already has.
func duplicateOf(first uint64) Verdict {
	return Verdict{Kind: Duplicate, FirstOffset: first, FirstKind: Accepted}
}
