package track

import "iter"

// Services yields the services to which tasks of the job may have been sent: the one at acceptance and
// those that are stored with its progress.
func (j *Job) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		if !yield(j.Settings.Service) {
			return
		}
		for s, stored := range j.services {
			if stored && !yield(s) {
				return
			}
		}
	}
}

// move is a service to which tasks of a job may be sent once that is stored.
type move struct {
	job     *Job
	service string
}

// MayUseService reports whether tasks of a job with an open occurrence may be sent to executors of a
// service. Later leaders have to know all such services, or they would start again what runs there.
// Until the service is stored it returns false and includes it in the next batch.
func (tr *Tracker) MayUseService(j *Job, service string) bool {
	if service == j.Settings.Service {
		return true
	}
	stored, known := j.services[service]
	if !known {
		if j.services == nil {
			j.services = map[string]bool{}
		}
		j.services[service] = false
		tr.markDirty(j.Open[0], 0)
	}
	return stored
}
