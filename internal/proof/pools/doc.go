// Package pools tests the guarantees to operators on budgets, waves, moves and configuration, with
// entries, fakes and endpoints in one process.
package pools
