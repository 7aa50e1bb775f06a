package track

// Usage follows the runs that a tracker holds.
type Usage interface {
	// RunBegins is called for a run of a step that is about to be ordered, or was found.
	RunBegins(*Step)
	// RunEnded is called once a run of a step has ended for certain.
	RunEnded(*Step)
}

// WithUsage has u follow the runs of a tracker.
func WithUsage(u Usage) Option { return func(tr *Tracker) { tr.usage = u } }

// noUsage is the Usage of trackers without one.
type noUsage struct{}

func (noUsage) RunBegins(*Step) {}
func (noUsage) RunEnded(*Step)  {}
