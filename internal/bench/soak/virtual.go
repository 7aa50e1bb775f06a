package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/fake/memnet"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
	"chervilgauge.example/chervilgauge/internal/watch/logs"
	"chervilgauge.example/chervilgauge/platform"
)

// memoryDelay is the time that data takes from one process to another in memory.
const memoryDelay = 300 * time.Microsecond

// idleTimeout is longer than any connection stays open without use.
const idleTimeout = time.Minute

// newLink starts a link on the network of the run.
func (r *run) newLink(opts ...LinkOption) (*Link, error) {
	if r.memory != nil {
		opts = append([]LinkOption{WithAddr(r.address())}, opts...)
	}
	return NewLink(r.clk, append(opts, WithNetwork(r.net))...)
}

// ports returns n ports that nothing listens on. It returns an Err.
func (r *run) ports(n int) (out []int, err error) {
	if r.memory == nil {
		out, r.reserved, err = reservePorts(n)
		return out, err
	}
	for range n {
		out = append(out, r.nextPort)
		r.nextPort++
	}
	return out, nil
}

// address returns an address in memory that nothing listens on.
func (r *run) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextPort++
	return fmt.Sprint("127.0.0.1:", r.nextPort-1)
}

// listen listens in memory for a stand-in.
func (r *run) listen(string) net.Listener {
	lis, err := r.net.Listen(r.address())
	if err != nil {
		panic(err) // addresses are used once
	}
	return lis
}

// launch starts the process of an entry. It returns an Err.
func (r *run) launch(e *entry) (process, error) {
	if r.memory == nil {
		return launchCommand(e)
	}
	settings, err := platform.LoadSettings(e.file)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	log, err := os.OpenFile(e.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	host := r.memory.Host(e.name)
	a, err := agent.Start(context.Background(), settings, logs.New(log, "", e.name), agent.WithNetwork(host, clock.NewPausable(host.Paused)))
	if err != nil {
		return nil, Err.Wrap(err)
	}
	p := &routine{host: host, agent: a, log: log, ended: make(chan struct{}), closed: make(chan struct{})}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		<-p.closed
	}()
	return p, nil
}

// routine is an entry that runs in this process.
type routine struct {
	host  *memnet.Host
	agent *agent.Agent
	log   *os.File
	// ended is closed when the entry has no more effect, and closed when its goroutines have ended too.
	ended, closed chan struct{}
	ending, close sync.Once
	err           error // of the end

	mu     sync.Mutex
	killed bool
	resume func() // nil while it is not paused
}

func (p *routine) String() string { return "in memory" }

func (p *routine) pause(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on == (p.resume != nil) {
		return
	}
	if on {
		if p.killed {
			return // its goroutines have to end
		}
		p.resume = p.host.Pause()
		return
	}
	p.resume()
	p.resume = nil
}

func (p *routine) stop() {
	p.close.Do(func() {
		go func() {
			defer close(p.closed)
			err := p.agent.Close()
			p.host.Kill()
			p.end(err)
			_ = p.log.Close()
		}()
	})
}

func (p *routine) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.host.Kill()
	p.end(nil)
	p.pause(false)
	p.stop()
}

func (p *routine) end(err error) {
	p.ending.Do(func() {
		p.err = err
		close(p.ended)
	})
}

func (p *routine) wait() error {
	<-p.ended
	return p.err
}
