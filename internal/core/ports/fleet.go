package ports

import (
	"context"

	"github.com/zeebo/errs"
)

// ErrList is the class of failures to read the instance list or to request a reboot. A Reboot
// that failed with it may or may not have started.
var ErrList = errs.Class("instance list unavailable")

// Phase is the state of an instance in the platform's list.
type Phase string

// Phases of an instance in the platform's list.
const (
	Live    Phase = "live"
	Leaving Phase = "leaving"
	Down    Phase = "down"
)

// Instance is one instance in the platform's list.
type Instance struct {
	Name  string
	Phase Phase
	// Boot is a number that increases with every boot of the instance.
	Boot uint64
}

// Instances is the platform's list of instances. The list lags behind the actual state.
type Instances interface {
	// List returns all instances in the list. It returns an ErrList.
	List(ctx context.Context) ([]Instance, error)
	// Reboot requests a reboot and does not wait for it. It returns an ErrList.
	Reboot(ctx context.Context, name string) error
}
