package waves

import (
	"fmt"
	"strings"
	"time"
)

// Reason says why a wave halts or waits. It is one of *Overdue, *Relapsed,
// *Correlated, *NoBudget, *Ramping and *Unreachable.
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

// NoBudget reports that the pools' budgets allow no further drain. Unplanned is the
// number of unavailable instances of the pools that nobody drained.
type NoBudget struct {
	Unplanned int
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

func (r *NoBudget) String() string {
	return fmt.Sprintf("budget used up, %d instances unavailable unplanned", r.Unplanned)
}

func (r *Ramping) String() string {
	return fmt.Sprintf("step of %d instances in progress", r.Size)
}

func (r *Unreachable) String() string {
	return "not up: " + strings.Join(r.Instances, ", ")
}
