package share

import "slices"

// part is one holder's part of a division.
type part struct {
	// want is the demand and held what the holder has now.
	want, held int
	// rank breaks ties. It differs between endpoints, so that no entry has the odd
	// slot of all of them.
	rank uint64
	// give is the result.
	give int
	// ask is the demand in one step of the division.
	ask int
	// key is the holder.
	key *party
}

// divide sets give of each part so that the sum is the stock n. Demand is met first,
// evenly where it exceeds the stock. What remains stays with those that hold it, so
// that nothing is recalled without need, and the rest is spread evenly as a reserve.
func divide(n int, parts []part) {
	if len(parts) == 0 {
		return
	}
	for i := range parts {
		parts[i].give = 0
		parts[i].ask = parts[i].want
	}
	n -= pour(n, parts)
	for i := range parts {
		parts[i].ask = max(parts[i].held-parts[i].give, 0)
	}
	n -= pour(n, parts)
	level(n, parts)
}

// pour adds to each part up to its ask from the stock n, as evenly as possible, and
// returns what it used.
func pour(n int, parts []part) int {
	slices.SortFunc(parts, func(a, b part) int {
		if a.ask != b.ask {
			return a.ask - b.ask
		}
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	used := 0
	for i := range parts {
		share := (n - used) / (len(parts) - i)
		share = min(share, parts[i].ask)
		parts[i].give += share
		used += share
	}
	return used
}

// level adds n to the parts one at a time, each time to the smallest.
func level(n int, parts []part) {
	for range n {
		least := &parts[0]
		for i := range parts {
			p := &parts[i]
			if p.give < least.give || p.give == least.give && p.rank < least.rank {
				least = p
			}
		}
		least.give++
	}
}
