// Package crowd tests that a process of the program survives clients that send large, unfinished or
// endless requests. Its tests need a machine without other load and run one at a time.
package crowd
