package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of entries and their links are a block of blockPorts, all with five digits. The first one of a
// block is listened on for the whole run, so that no other run takes the port of a process that is ended for
// a while. Tests and the system take ports above lastPort.
const (
	firstPort, lastPort = 10000, 19999
	blockPorts          = portsPerEntry*MaxEntries + 1
)

// reservePorts returns a block of n ports on loopback that nothing listens on, until the listener is
// closed. It returns an Err.
func reservePorts(n int) ([]int, net.Listener, error) {
	var err error
	for _, block := range rand.Perm((lastPort - firstPort + 1) / blockPorts) {
		first := firstPort + block*blockPorts
		var reserved net.Listener
		if reserved, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", first)); err != nil {
			continue
		}
		var out []int
		for port := first + 1; port <= first+n && err == nil; port++ {
			var lis net.Listener
			if lis, err = net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)); err == nil {
				_ = lis.Close()
				out = append(out, port)
			}
		}
		if err == nil {
			return out, reserved, nil
		}
		_ = reserved.Close()
	}
	return nil, nil, Err.Wrap(err)
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
