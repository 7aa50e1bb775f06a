package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

// workerReport is the JSON form of a worker.
type workerReport struct {
	Name   string    `json:"name"`
	Size   resources `json:"size"`
	Rack   string    `json:"rack"`
	Centre string    `json:"centre"`
	Boot   uint64    `json:"boot"`
	Age    float64   `json:"age"` // milliseconds
	Tasks  []struct {
		Job   string          `json:"job"`
		Token uint64          `json:"token"`
		Phase ports.TaskPhase `json:"phase"`
		Used  resources       `json:"used"`

		Throttled bool `json:"throttled"`
	} `json:"tasks"`
}

// Workers returns all workers. It returns a ports.ErrWorkers.
func (c *Client) Workers(ctx context.Context) ([]ports.Worker, error) {
	status, body, err := c.do(ctx, http.MethodGet, c.remote.URL("workers"), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, ports.ErrWorkers.New("list: status %d", status)
	}
	var a []workerReport
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, ports.ErrWorkers.Wrap(errAnswer.Wrap(err))
	}
	if a == nil {
		return nil, ports.ErrWorkers.Wrap(errAnswer.New("null"))
	}
	return convert(a)
}

// convert checks and converts a list of workers. It returns a ports.ErrWorkers.
func convert(a []workerReport) ([]ports.Worker, error) {
	seen := make(map[string]bool, len(a))
	all := make([]ports.Worker, 0, len(a))
	for i := range a {
		r := &a[i]
		if r.Name == "" || seen[r.Name] {
			return nil, ports.ErrWorkers.Wrap(errAnswer.New("worker name %q is empty or repeated", r.Name))
		}
		if r.Size.Cores < 0 || r.Size.Memory < 0 || r.Size.Accelerators < 0 {
			return nil, ports.ErrWorkers.Wrap(errAnswer.New("worker %q has a negative size", r.Name))
		}
		seen[r.Name] = true
		w, err := r.toWorker()
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

// toWorker converts a worker. It returns a ports.ErrWorkers.
func (r *workerReport) toWorker() (ports.Worker, error) {
	w := ports.Worker{
		Name: r.Name, Size: ports.Resources(r.Size), Rack: r.Rack, Centre: r.Centre, Boot: r.Boot,
		Age: time.Duration(max(0, r.Age) * float64(time.Millisecond)),
	}
	for _, t := range r.Tasks {
		if err := checkPhase(t.Phase); err != nil {
			return w, err
		}
		w.Tasks = append(w.Tasks, ports.Task{
			Job: t.Job, Token: t.Token, Phase: t.Phase, Used: ports.Resources(t.Used), Throttled: t.Throttled,
		})
	}
	return w, nil
}
