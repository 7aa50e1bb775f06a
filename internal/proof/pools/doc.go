// Package pools holds tests of what operators are promised: budgets, waves, moves and
// configuration, with entries, fakes and endpoints in one process.
package pools
