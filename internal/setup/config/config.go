// Package config reads the settings file of an entry, which is JSON with comments. It checks
// every field and reports all problems with their positions.
package config

import "time"

// Config holds the settings of one entry.
type Config struct {
	// Name is the name of the entry, unique in the deployment.
	Name string
	// Centre is the name of the entry's data centre.
	Centre string
	Listen Listen
	Log    Remote
	List   Remote
	// Workers is the service that runs jobs. Without a URL, jobs are accepted and stay
	// queued.
	Workers Remote
	Limits  Limits
	Stop    Stop
	Trace   Trace
	Logs    Logs
	TLS     TLS
	Spare   Spare
	// Seeds holds peer addresses of other entries, from which the entry loads its state if
	// the log is unavailable at the start.
	Seeds []string
}

// Listen holds the addresses to listen on, each an IP address with a port.
type Listen struct {
	Callers   string
	Operators string
	Peers     string
	// Health is the address that serves /healthz, /readyz and /metrics.
	Health string
}

// Remote holds the settings of calls to a service of the platform.
type Remote struct {
	URL string
	// Timeout is the longest time for one request.
	Timeout time.Duration
}

// Limits bounds the requests of callers and the resources that they use.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64
	// Queue is the longest time that a request waits in a queue for a slot.
	Queue time.Duration
	// Run is the longest time from a request's arrival to its answer.
	Run time.Duration
	// Header is the longest time to receive the header of a request.
	Header time.Duration
	// Claim is the longest time to wait for a claim.
	Claim time.Duration
	// Outcomes is the memory in bytes for stored answers.
	Outcomes int64
	// Conns is the largest number of connections to each endpoint.
	Conns int
	// Waiting is the largest number of requests that wait in the queue of one pool.
	Waiting int
}

// Stop holds the times of a graceful stop.
type Stop struct {
	// Lag is the time after which the load balancer has noticed that the entry is not ready.
	Lag time.Duration
	// Limit is the longest time to wait for requests in flight.
	Limit time.Duration
}

// Trace selects which spans are written, and where.
type Trace struct {
	// File is a path, "stdout", or empty to write no spans.
	File string
	// Share is the share, from 0 to 1, of requests without an incoming trace that are
	// sampled.
	Share float64
}

// Logs selects what is logged.
type Logs struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
}

// TLS holds the files for mutual TLS of each listener. Without files it uses plain TCP.
type TLS struct {
	Operators Files
	Peers     Files
}

// Files holds the paths of PEM files. Either all or none are set.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// IsSet reports whether the files are given.
func (f Files) IsSet() bool { return f.Cert != "" }

// Spare holds the weights of the goals of the spare policy.
type Spare struct {
	// Buffer is the weight of idle instances and roll-out time, 0 to 1.
	Buffer float64
	// Flood is the weight of the work that other services still get done during a flood of
	// requests for one service, 0 to 1.
	Flood float64
}

// defaultConns keeps 8 entries together within the 64 connections that an endpoint accepts.
const defaultConns = 8

// Default returns the default settings, which a settings file overrides.
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
