package quota

import (
	"fmt"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Refusal returns why steps can never start within the limit of an account, or an empty string: a task
// alone, or the members of a gang together, need more of a resource.
func Refusal(a *model.Account, steps []model.Step) string {
	for i := range steps {
		s, n, what := &steps[i], int64(1), "a task"
		if s.Gang {
			n, what = int64(s.Count), "a gang"
		}
		need, limit := s.Need.Times(n), a.Limit
		for _, r := range []struct {
			name        string
			need, limit int64
		}{
			{"processor (thousandths of a core)", need.Cores, limit.Cores}, {"memory (MiB)", need.Memory, limit.Memory},
			{"accelerators", need.Accelerators, limit.Accelerators},
		} {
			if r.limit > 0 && r.need > r.limit {
				return fmt.Sprintf("%s of step %d needs %d of %s, and the limit of client account %q is %d", what, i, r.need, r.name, a.Name, r.limit)
			}
		}
	}
	return ""
}
