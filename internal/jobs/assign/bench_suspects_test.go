package assign

import (
	"fmt"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// BenchmarkPlanSuspects measures one decision for 350 executors, 35 of them suspects, and 2,000 waiting jobs whose steps
// need 40 different amounts, without and with labels that a tenth of the executors have.
func BenchmarkPlanSuspects(b *testing.B) {
	for _, label := range []string{"", "l"} {
		b.Run(fmt.Sprintf("label=%q", label), func(b *testing.B) {
			q := &model.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}
			tr := track.New(0)
			var jobs []*track.Job
			for i := range 2000 {
				step := model.Step{Count: 8, Need: model.Amount{Cores: 3100 + int64(i%40)*100, Memory: 2500 - int64(i%40)*10}, Estimate: 640 * time.Millisecond}
				if i%2 == 0 {
					step.Label = label
				}
				jobs = append(jobs, tr.Accept(fmt.Sprint(i), *q, model.JobSpec{Repeats: 1, Steps: []model.Step{step}}, time.Duration(i)*time.Millisecond, 0))
			}
			var members []*execs.Member
			for i := range 350 {
				m := &execs.Member{Executor: model.Executor{Capacity: model.Amount{Cores: 32000, Memory: 65536}}, Key: fmt.Sprint(i), Contact: execs.Live, Listed: true, Slowness: 1}
				m.Used = model.Amount{Cores: 31000}
				if i%10 == 0 {
					m.Used.Cores = 28000
				}
				if i%10 == 5 {
					m.Labels = []string{"l"}
				}
				if i%10 == 3 {
					for n := range 3 {
						m.RecordFailure(fmt.Sprint(n), 0)
					}
				}
				members = append(members, m)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(OrderJobs(jobs, func(*track.Job) *model.Queue { return q }, 0, time.Minute), members, Unrestricted, nil, nil, time.Minute, 64)
			}
		})
	}
}
