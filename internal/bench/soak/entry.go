package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/platform/fake"
)

// entry is an entry with its process.
type entry struct {
	index   int
	name    string
	front   string // address for callers
	ready   string // address of the readiness
	program string
	file    string // settings
	logPath string
	store   overlay[fake.Faults]
	link    overlay[LinkFaults]
	// peers is the address for other entries, peerLink the link in front of it, and peer the faults of
	// the link.
	peers    string
	peerLink *Link
	peer     overlay[LinkFaults]

	// turn is held while a signal that ends the process is carried out, until the next one starts.
	turn sync.Mutex

	mu       sync.Mutex
	proc     process
	ended    chan struct{} // closed when the process has ended
	ending   bool          // a signal that ends the process was sent
	lifetime int
	stopAt   time.Duration // when the last SIGTERM was sent, 0 for never
	pauses   int           // pauses in progress
}

// start starts the process. It returns an Err.
func (e *entry) start(r *run) error {
	if err := e.peerLink.Open(); err != nil {
		return err
	}
	proc, err := r.launch(e)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proc, e.ended, e.ending, e.pauses = proc, make(chan struct{}), false, 0
	e.lifetime++
	ended := e.ended
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		err := proc.wait()
		// Other entries detect that a process has ended by refused connections.
		e.peerLink.Shut()
		e.mu.Lock()
		ending := e.ending
		e.mu.Unlock()
		if !ending {
			r.found("FAULT", "", "%s (%s) ended by itself: %v", e.name, proc, err)
		}
		close(ended)
	}()
	return nil
}

// isStarted reports whether a process was started.
func (e *entry) isStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proc != nil
}

// terminate ends the process, at once or as planned, and returns a channel that is closed when it has ended.
func (e *entry) terminate(atOnce bool) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ending = true
	if atOnce {
		e.proc.kill()
	} else {
		e.proc.stop()
	}
	return e.ended
}

// pause stops the process, or lets it run again after the last pause.
func (e *entry) pause(begin bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if begin {
		e.pauses++
	} else {
		e.pauses = max(0, e.pauses-1)
	}
	e.proc.pause(e.pauses > 0)
}

// life returns the number of the process's lifetime.
func (e *entry) life() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

// stoppedAt returns when the last SIGTERM was sent, 0 for never.
func (e *entry) stoppedAt() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopAt
}

// stop sends SIGTERM and kills the process when it has not ended within the grace time, which is a
// finding unless the entry was disturbed.
func (e *entry) stop(r *run) {
	c := r.openCaller(e)
	defer c.http.CloseIdleConnections()
	begin := r.clk.Now()
	e.mu.Lock()
	e.stopAt = begin
	e.mu.Unlock()
	ended := e.terminate(false)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		c.useUntil(e, ended)
	}()
	t := r.clk.After(grace)
	defer t.Close()
	select {
	case <-ended:
	case <-t.C:
		if r.unplanned.isCalmSince(e.index, begin-stabilityWindow) {
			r.found("STOP", "", "%s has not ended %s after SIGTERM", e.name, grace)
		}
		<-e.terminate(true)
	}
}

// newEntry creates an entry with its settings, its log and its links.
func (r *run) newEntry(i int, dir string, ports []int) (*entry, error) {
	addr := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	e := &entry{
		index: i, name: fmt.Sprintf("entry-%d", i), program: r.cfg.Program,
		front: addr(ports[0]), ready: addr(ports[1]), peers: addr(ports[2]),
	}
	e.file = filepath.Join(dir, e.name+".yaml")
	e.logPath = filepath.Join(dir, e.name+".log")
	proxy := r.platform.NewStoreProxy()
	e.store.apply = func(fs []fake.Faults) { proxy.Set(mergeCalls(fs)) }
	link, err := r.newLink()
	if err != nil {
		return nil, err
	}
	r.links = append(r.links, link)
	link.SetTarget(proxy.Addr())
	link.SetRewrite(e.hideAddr)
	e.link.apply = func(fs []LinkFaults) { link.Set(mergeLinks(fs)) }
	if e.peerLink, err = r.newLink(WithAddr(addr(ports[3]))); err != nil {
		return nil, err
	}
	r.links = append(r.links, e.peerLink)
	e.peerLink.SetTarget(e.peers)
	e.peerLink.SetRewrite(r.hidePeers(e))
	e.peer.apply = func(fs []LinkFaults) { e.peerLink.Set(mergeLinks(fs)) }
	settings := fake.Entry{Name: e.name, Zone: fake.Zone(i % zones), Cores: largeCores, Front: ports[0], Ready: ports[1], Peers: ports[2]}
	if i >= r.cfg.Entries-r.cfg.Small {
		settings.Cores = smallCores
	}
	text := r.platform.SettingsText(settings, link.Addr(), fake.BoundsLine(grace, stopTimeout, revoke))
	return e, Err.Wrap(os.WriteFile(e.file, []byte(text), 0o600))
}
