package share

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// BenchmarkAdmit measures one submission of 20 and 2,000 accounts, and the memory that each account takes.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{20, 2000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account%04d", i)
			}
			load := &Load{Cores: 320_000, Full: true, Waiting: 3200}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var buckets Buckets
			for _, name := range names {
				buckets.Take(name, 1, 0)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				buckets.Admit(names[i%accounts], 1, time.Duration(i)*time.Microsecond, load, func(time.Duration) bool { return false })
				i++
			}
			if accounts == 2000 { // fewer are lost in what else the heap does
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(accounts), "B/account")
			}
		})
	}
}

// BenchmarkDivide measures the division of a pool among 20 and 2,000 accounts.
func BenchmarkDivide(b *testing.B) {
	for _, accounts := range []int{20, 2000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			needs := make([]Need, accounts)
			for i := range needs {
				needs[i] = Need{Weight: float64(1 + i%7), Running: model.Amount{Cores: int64(i % 13 * 500), Memory: 900}, Waiting: model.Amount{Cores: int64(i % 17 * 900)}}
			}
			var d Divider
			b.ReportAllocs()
			for b.Loop() {
				d.Divide(needs, model.Amount{Cores: int64(accounts) * 4000, Memory: int64(accounts) * 4000})
			}
		})
	}
}
