package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

// listed is one worker in the protocol.
type listed struct {
	Name   string  `json:"name"`
	Size   size    `json:"size"`
	Rack   string  `json:"rack"`
	Centre string  `json:"centre"`
	Boot   uint64  `json:"boot"`
	Age    float64 `json:"age"` // milliseconds
	Tasks  []struct {
		Job   string          `json:"job"`
		Token uint64          `json:"token"`
		Phase ports.TaskPhase `json:"phase"`
		Used  size            `json:"used"`

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
	var a []listed
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, ports.ErrWorkers.Wrap(errAnswer.Wrap(err))
	}
	if a == nil {
		return nil, ports.ErrWorkers.Wrap(errAnswer.New("null"))
	}
	return parse(a)
}

func parse(a []listed) ([]ports.Worker, error) {
	seen := make(map[string]bool, len(a))
	all := make([]ports.Worker, 0, len(a))
	for i := range a {
		l := &a[i]
		if l.Name == "" || seen[l.Name] {
			return nil, ports.ErrWorkers.Wrap(errAnswer.New("worker name %q is empty or repeated", l.Name))
		}
		if l.Size.Cores < 0 || l.Size.Memory < 0 || l.Size.Accelerators < 0 {
			return nil, ports.ErrWorkers.Wrap(errAnswer.New("worker %q has a negative size", l.Name))
		}
		seen[l.Name] = true
		w, err := l.worker()
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	return all, nil
}

// worker converts a worker. It returns a ports.ErrWorkers.
func (l *listed) worker() (ports.Worker, error) {
	w := ports.Worker{
		Name: l.Name, Size: ports.Size(l.Size), Rack: l.Rack, Centre: l.Centre, Boot: l.Boot,
		Age: time.Duration(max(0, l.Age) * float64(time.Millisecond)),
	}
	for _, t := range l.Tasks {
		if err := known(t.Phase); err != nil {
			return w, err
		}
		w.Tasks = append(w.Tasks, ports.Task{
			Job: t.Job, Token: t.Token, Phase: t.Phase, Used: ports.Size(t.Used), Throttled: t.Throttled,
		})
	}
	return w, nil
}
