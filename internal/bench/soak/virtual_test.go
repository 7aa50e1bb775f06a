package soak

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var (
	virtualSeeds  = flag.Int("virtual.seeds", 2, "number of seeds that run in virtual time")
	virtualFirst  = flag.Uint64("virtual.first", 1, "first of these seeds")
	virtualLength = flag.Duration("virtual.length", 20*time.Second, "time with faults of these runs")
	virtualConfig = Config{Virtual: true}
)

func init() {
	flag.IntVar(&virtualConfig.Entries, "virtual.entries", 4, "number of entries of these runs")
	flag.IntVar(&virtualConfig.Small, "virtual.small", 0, "number of small entries of these runs")
	flag.IntVar(&virtualConfig.Executors, "virtual.executors", 105, "number of executors of these runs")
	flag.IntVar(&virtualConfig.Series, "virtual.faults", 4, "number of series of faults of these runs")
	flag.StringVar(&virtualConfig.Only, "virtual.only", "", "inject only faults whose line in the plan contains this text")
}

// Guards against what the soak checks, with more faults than there is real time for.
func TestVirtualSoak(t *testing.T) {
	for n := range *virtualSeeds {
		c := virtualConfig
		c.Seed, c.Length = *virtualFirst+uint64(n), *virtualLength
		t.Run(fmt.Sprintf("seed%d", c.Seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { play(t, c) })
		})
	}
}
