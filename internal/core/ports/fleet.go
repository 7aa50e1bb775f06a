package ports

import (
	"context"

	"github.com/zeebo/errs"
)

// ErrList is the class of failures to read the instance list or to order a reboot.
// After such a failure of Reboot the order may or may not have been carried out.
var ErrList = errs.Class("instance list unavailable")

// Phase is the state of an instance in the platform's list.
type Phase string

// Phases of an instance in the platform's list.
const (
	Live    Phase = "live"
	Leaving Phase = "leaving"
	Down    Phase = "down"
)

// Listed is one instance of the platform's list.
type Listed struct {
	Name  string
	Phase Phase
	// Boot increases with every boot of the instance.
	Boot uint64
}

// Instances is the platform's list of instances. The list lags behind the truth.
type Instances interface {
	// List returns the listed instances. It returns an ErrList.
	List(ctx context.Context) ([]Listed, error)
	// Reboot orders a reboot. It returns an ErrList.
	Reboot(ctx context.Context, name string) error
}
