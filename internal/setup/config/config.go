// Package config reads the settings file of an entry: JSON with comments, in
// which every field is checked and every problem is reported with its position.
package config

import "time"

// Config holds the settings of one entry.
type Config struct {
	// Name is the name of the entry, unique in the deployment.
	Name string
	// Centre is the data centre of the entry.
	Centre string
	Listen Listen
	Log    Remote
	List   Remote
	// Workers runs jobs. Without a URL, jobs are accepted and stay queued.
	Workers Remote
	Limits  Limits
	Stop    Stop
	Trace   Trace
	Logs    Logs
	TLS     TLS
	Spare   Spare
	// Seeds are the peers' addresses of other entries, from which the state is taken
	// if the log is down at the start.
	Seeds []string
}

// Listen holds the addresses to listen on, each an IP address with a port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// Health serves /healthz, /readyz and /metrics.
	Health string
}

// Remote is a service of the platform.
type Remote struct {
	URL string
	// Timeout limits one request.
	Timeout time.Duration
}

// Limits bounds what callers can use.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64
	// Queue is the longest time that a request waits for a slot.
	Queue time.Duration
	// Run is the longest time from a request's arrival to its answer.
	Run time.Duration
	// Header is the longest time to receive a request's header.
	Header time.Duration
	// Claim is the longest time to wait for a claim.
	Claim time.Duration
	// Outcomes is the memory for kept answers in bytes.
	Outcomes int64
	// Conns is the largest number of connections to each endpoint.
	Conns int
	// Waiting is the largest number of requests that wait in one pool's queue.
	Waiting int
}

// Stop controls the planned stop.
type Stop struct {
	// Lag is the time that the balancer needs to notice that the entry is not ready.
	Lag time.Duration
	// Limit is the longest time to wait for requests in flight.
	Limit time.Duration
}

// Trace selects where spans are written.
type Trace struct {
	// File is a path, "stdout", or empty for no spans.
	File string
	// Share is the sampled share of requests without an incoming trace, 0 to 1.
	Share float64
}

// Logs selects what is logged.
type Logs struct {
	// Level is debug, info, warn or error.
	Level string
}

// TLS holds the files for mutual TLS, empty to use plain TCP.
type TLS struct {
	Operators Files
	Peers     Files
}

// Files names PEM files. All or none are set.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Set reports whether the files are given.
func (f Files) Set() bool { return f.Cert != "" }

// Spare weighs what the spare policy optimises for.
type Spare struct {
	// Buffer is the weight of idle instances and roll-out time, 0 to 1.
	Buffer float64
	// Flood is the weight of what other work keeps in a flood, 0 to 1.
	Flood float64
}

// defaultConns lets 8 entries together keep within the 64 connections of an executor.
const defaultConns = 8

// Default returns the settings that a file starts from.
func Default() Config {
	return Config{
		Log:     Remote{Timeout: 2 * time.Second},
		List:    Remote{Timeout: 2 * time.Second},
		Workers: Remote{Timeout: 2 * time.Second},
		Limits: Limits{
			Body:     1 << 20,
			Queue:    1500 * time.Millisecond,
			Run:      30 * time.Second,
			Header:   5 * time.Second,
			Claim:    2 * time.Second,
			Outcomes: 64 << 20,
			Conns:    defaultConns,
			Waiting:  10_000,
		},
		Stop:  Stop{Lag: 2 * time.Second, Limit: time.Minute},
		Trace: Trace{Share: 1},
		Logs:  Logs{Level: "info"},
		Spare: Spare{Buffer: 0.5, Flood: 0.5},
	}
}
