package alloc

import "slices"

// part is the part of one holder in a division.
type part struct {
	// want is the demand and held the number of slots that the holder has now.
	want, held int
	// rank breaks ties. It differs between endpoints, so that no entry receives the odd slot of all
	// of them.
	rank uint64
	// granted is the result.
	granted int
	// request is the demand in one step of the division.
	request int
	holder  *holderState
}

// divide sets granted of each part so that the sum is n. Demand is met first, evenly if it exceeds
// n. Of the remaining slots, holders keep what they have, so that no slot is recalled without need,
// and the rest is distributed evenly as a reserve.
func divide(n int, parts []part) {
	if len(parts) == 0 {
		return
	}
	for i := range parts {
		parts[i].granted = 0
		parts[i].request = parts[i].want
	}
	n -= fillEvenly(n, parts)
	for i := range parts {
		parts[i].request = max(parts[i].held-parts[i].granted, 0)
	}
	n -= fillEvenly(n, parts)
	spreadRest(n, parts)
}

// fillEvenly adds up to n slots to the parts, to each one at most its request and as evenly as
// possible. It returns the number of slots added.
func fillEvenly(n int, parts []part) int {
	slices.SortFunc(parts, func(a, b part) int {
		if a.request != b.request {
			return a.request - b.request
		}
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	used := 0
	for i := range parts {
		share := (n - used) / (len(parts) - i)
		share = min(share, parts[i].request)
		parts[i].granted += share
		used += share
	}
	return used
}

// spreadRest adds n slots to the parts one at a time, each time to the smallest part.
func spreadRest(n int, parts []part) {
	for range n {
		least := &parts[0]
		for i := range parts {
			p := &parts[i]
			if p.granted < least.granted || p.granted == least.granted && p.rank < least.rank {
				least = p
			}
		}
		least.granted++
	}
}
