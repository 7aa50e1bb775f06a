// Package procs holds tests that run entries, fakes of the platform and endpoints as
// separate processes and stop, freeze or cut them off.
package procs
