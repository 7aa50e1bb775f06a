package state

import (
	"fmt"
	"runtime"
	"testing"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// deployment holds the numbers of objects of one of the deployments in section 3 of the
// design page.
type deployment struct {
	name                          string
	pools, instances, teams, jobs int
}

var deployments = []deployment{{"today", 5, 50, 5, 0}, {"twoyear", 30, 1500, 200, 0}, {"queue100k", 30, 1500, 200, 100000}}

// buildStream returns a stream whose state has the objects of the deployment and full
// tables of record and change ids.
func (d deployment) buildStream(b testing.TB) *stream {
	c := newStream(b)
	for n := range d.pools {
		p := poolRecord(fmt.Sprint("pool", n), uint32(d.instances))
		p.Budget.Rack, p.Budget.Centre = uint32(d.instances), uint32(d.instances)
		c.accept(p)
		c.accept(&recpb.Service{Name: fmt.Sprint("service", n), Pool: p.Name, Weight: 1})
	}
	for n := range d.teams {
		c.accept(&recpb.Team{Name: fmt.Sprint("team", n), Weight: 1})
	}
	for n := range 8 {
		c.accept(joinRecord(fmt.Sprint("entry", n), uint64(n+1)))
	}
	for n := range d.instances {
		i := instanceRecord(fmt.Sprintf("worker%04d.rack%03d", n, n/4), fmt.Sprint("pool", n%d.pools))
		i.Rack, i.Centre = fmt.Sprint("rack", n/4), fmt.Sprint("centre", n%9)
		c.accept(i)
		c.accept(healthUp(i.Name, 1))
	}
	for n := range d.jobs {
		c.accept(&recpb.Job{Name: fmt.Sprint("job", n), Team: fmt.Sprint("team", n%d.teams), Cores: 4})
	}
	for n := range maxVerdicts {
		e := &recpb.Edit{Change: fmt.Sprintf("change-%032d", n)}
		if t, ok := c.s.Team("filler"); ok {
			e.Base = t.Version
		}
		c.accept(&recpb.Team{Edit: e, Name: "filler", Weight: 1})
	}
	return c
}

// repeatableRecords returns records that the state of the stream accepts, by kind.
func (d deployment) repeatableRecords(c *stream) map[string]*recpb.Record {
	i := fmt.Sprintf("worker%04d.rack%03d", 7, 1)
	kinds := map[string]*recpb.Record{
		"health": newRecord(1<<60, healthUp(i, 2)),
		"drain":  newRecord(1<<60, c.drain(i, "")),
		"lease":  newRecord(1<<60, &recpb.Lease{Holder: "entry1", Incarnation: 2}),
	}
	if d.jobs > 0 {
		kinds["placed"] = newRecord(1<<60, &recpb.Placed{Job: "job7", Worker: i})
	}
	return kinds
}

func BenchmarkApply(b *testing.B) {
	for _, d := range deployments {
		c := d.buildStream(b)
		for kind, r := range d.repeatableRecords(c) {
			b.Run(d.name+"/"+kind, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, v := c.s.Apply(c.offset+1, r); v != accepted {
						b.Fatal(v)
					}
				}
			})
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, d := range deployments {
		c := d.buildStream(b)
		data := c.s.Encode()
		b.Run(d.name+"/hash", func(b *testing.B) {
			for b.Loop() {
				c.s.Hash()
			}
		})
		b.Run(d.name+"/encode", func(b *testing.B) {
			for b.Loop() {
				c.s.Encode()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(d.name+"/decode", func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a state in bytes.
func BenchmarkMemory(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := d.buildStream(b)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
