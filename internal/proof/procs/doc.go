// Package procs tests entries, fakes of the platform and endpoints as separate processes, which
// the tests kill, stop, freeze or cut off from each other.
package procs
