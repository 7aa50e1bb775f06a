package waves

import (
	"fmt"
	"strings"
	"time"
)

// Reason is why a wave halts or waits. It is one of *Overdue, *FailedAfterReturn,
// *Correlated, *Blocked, *NoBudget, *StepFull and *NotUp.
type Reason interface {
	fmt.Stringer
	reason()
}

// Overdue reports instances that did not drain or return within Bound.
type Overdue struct {
	Instances []string
	Bound     time.Duration
}

// FailedAfterReturn reports instances that failed soon after their return.
type FailedAfterReturn struct {
	Instances []string
}

// Correlated reports instances of the wave that failed together. Domain is the rack or data
// centre that all of them are in, empty if there is none. External is set if instances that
// the wave had not handled failed there too.
type Correlated struct {
	Instances []string
	Domain    string
	External  bool
}

// Blocked reports Instances that can't be drained because Holders failed and hold the
// budget. The operator either replaces Holders and resumes the wave, or rolls it on without
// Instances.
type Blocked struct {
	Instances []string
	Holders   []string
}

// NoBudget reports that the pools' budgets allow no further drain. Holders names the
// unavailable instances that are not in progress: they failed or went down unplanned.
type NoBudget struct {
	Holders []string
}

// StepFull reports that as many instances are in progress as the step allows. Size is in
// instances.
type StepFull struct {
	Size int
}

// NotUp reports remaining instances that are not up and therefore not drained.
type NotUp struct {
	Instances []string
}

func (*Overdue) reason()           {}
func (*FailedAfterReturn) reason() {}
func (*Correlated) reason()        {}
func (*Blocked) reason()           {}
func (*NoBudget) reason()          {}
func (*StepFull) reason()          {}
func (*NotUp) reason()             {}

func (r *Overdue) String() string {
	return fmt.Sprintf("not back within %v: %s", r.Bound, strings.Join(r.Instances, ", "))
}

func (r *FailedAfterReturn) String() string {
	return "failed after return: " + strings.Join(r.Instances, ", ")
}

func (r *Correlated) String() string {
	where := ""
	if r.Domain != "" {
		where = " in " + r.Domain
	}
	return fmt.Sprintf("failed together%s: %s", where, strings.Join(r.Instances, ", "))
}

func (r *Blocked) String() string {
	return fmt.Sprintf("%s keep the budget of %s", strings.Join(r.Holders, ", "), strings.Join(r.Instances, ", "))
}

func (r *NoBudget) String() string {
	return "budget used up, unavailable unplanned: " + strings.Join(r.Holders, ", ")
}

func (r *StepFull) String() string {
	return fmt.Sprintf("step of %d instances in progress", r.Size)
}

func (r *NotUp) String() string {
	return "not up: " + strings.Join(r.Instances, ", ")
}
