package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
)

// firstPort and lastPort bound the ports of entries and their links, all with five digits. Tests and
// the system take ports above them, which they would also take from a process that is ended for a
// while. portAttempts is the number of blocks of ports that are tried.
const (
	firstPort, lastPort = 10000, 19999
	portAttempts        = 50
)

// freePorts returns n successive ports on loopback that nothing listens on. It returns an Err.
func freePorts(n int) ([]int, error) {
	var err error
	for range portAttempts {
		first := firstPort + rand.IntN(lastPort-firstPort-n+2)
		var out []int
		for port := first; port < first+n && len(out) == port-first; port++ {
			var lis net.Listener
			if lis, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
				_ = lis.Close()
				out = append(out, port)
			}
		}
		if len(out) == n {
			return out, nil
		}
	}
	return nil, Err.Wrap(err)
}

// The peer port of each entry has a link in front, to which the other entries connect. An entry
// registers the address that it listens on, so the links replace addresses in what passes: outside of
// the entry its address is that of its link. Both have the same length, which keeps all encodings
// valid. An address that two pieces of data share is not replaced, and leads past the link.

// replaceAddr replaces an address by another one of the same length, in place.
func replaceAddr(data []byte, from, to string) {
	for {
		i := bytes.Index(data, []byte(from))
		if i < 0 {
			return
		}
		copy(data[i:], to)
		data = data[i+len(to):]
	}
}

// hideAddr replaces the addresses in what passes between an entry and the store.
func (e *entry) hideAddr(isCall bool, data []byte) {
	if isCall {
		replaceAddr(data, e.peers, e.peerLink.Addr())
		return
	}
	replaceAddr(data, e.peerLink.Addr(), e.peers)
}

// hidePeers returns the function that replaces the addresses in what passes between an entry and those
// that connect to it.
func (r *run) hidePeers(e *entry) func(isCall bool, data []byte) {
	return func(isCall bool, data []byte) {
		if !isCall {
			replaceAddr(data, e.peers, e.peerLink.Addr())
			return
		}
		for _, other := range r.entries {
			if other != e {
				replaceAddr(data, other.peers, other.peerLink.Addr())
			}
		}
		replaceAddr(data, e.peerLink.Addr(), e.peers)
	}
}
