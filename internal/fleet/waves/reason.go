package waves

import (
	"fmt"
	"strings"
	"time"
)

// Reason says why a wave halts or waits. It is one of *Overdue, *Relapsed,
// *Correlated, *Blocked, *NoBudget, *Ramping and *Unreachable.
type Reason interface {
	fmt.Stringer
	reason()
}

// Overdue reports instances that did not drain or return within Bound.
type Overdue struct {
	Instances []string
	Bound     time.Duration
}

// Relapsed reports instances that failed soon after their return.
type Relapsed struct {
	Instances []string
}

// Correlated reports instances of the wave that failed together. Domain is the rack
// or data centre that all of them are in, empty if there is none. External is set
// if instances that the wave had not touched failed there too.
type Correlated struct {
	Instances []string
	Domain    string
	External  bool
}

// Blocked reports instances that can not be drained because the instances in Held
// failed and keep the budget. Either Held is replaced and the wave resumes, or it
// rolls on without Instances.
type Blocked struct {
	Instances []string
	Held      []string
}

// NoBudget reports that the pools' budgets allow no further drain. Held names the
// unavailable instances that are not in progress: they failed or went down unplanned.
type NoBudget struct {
	Held []string
}

// Ramping reports that the step's size is used up. Size is in instances.
type Ramping struct {
	Size int
}

// Unreachable reports remaining instances that are not up and are not drained for it.
type Unreachable struct {
	Instances []string
}

func (*Overdue) reason()     {}
func (*Relapsed) reason()    {}
func (*Correlated) reason()  {}
func (*Blocked) reason()     {}
func (*NoBudget) reason()    {}
func (*Ramping) reason()     {}
func (*Unreachable) reason() {}

func (r *Overdue) String() string {
	return fmt.Sprintf("not back within %v: %s", r.Bound, strings.Join(r.Instances, ", "))
}

func (r *Relapsed) String() string {
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
	return fmt.Sprintf("%s keep the budget of %s", strings.Join(r.Held, ", "), strings.Join(r.Instances, ", "))
}

func (r *NoBudget) String() string {
	return "budget used up, unavailable unplanned: " + strings.Join(r.Held, ", ")
}

func (r *Ramping) String() string {
	return fmt.Sprintf("step of %d instances in progress", r.Size)
}

func (r *Unreachable) String() string {
	return "not up: " + strings.Join(r.Instances, ", ")
}
