package agent

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a leader that goes on under its former token because its entry lost the leadership
// and claimed again before the change was noticed.
func TestLeaderRestartsWithTheTokenOfItsLastClaim(t *testing.T) {
	r := &rig{t: t, platform: fake.NewPlatform(map[string]int{"pool-a": 1, "pool-b": 1}), log: &logBuffer{}}
	ps := freePorts(t, 3)
	r.settings = []platform.Settings{r.platform.Settings("entry-0", ps[0], ps[1], ps[2])}
	r.fronts, r.entries = []string{fmt.Sprintf("127.0.0.1:%d", ps[0])}, []*Agent{nil}
	r.configure("")
	// The entry does not notice changes of the leader while the callback has not returned.
	reclaimed, leads := make(chan struct{}), make(chan struct{}, 9)
	a, err := Start(context.Background(), r.settings[0], zerolog.New(r.log), WithLeaderCallback(func(is bool) {
		if is {
			leads <- struct{}{}
			<-reclaimed
		}
	}))
	assert.NilError(t, err)
	r.entries[0] = a
	t.Cleanup(func() {
		r.kill(a)
		r.platform.Close()
	})
	<-leads
	first := a.elector.Leader().Token
	c := platform.NewClient(r.settings[0])
	defer c.Close()
	// Another entry claims and resigns.
	r.until("another entry has led", func() bool {
		_, at, err := c.Read(context.Background(), "chervilgauge.leader", 0, 0, 0, time.Second)
		assert.NilError(t, err)
		_, _, err = c.Append(context.Background(), platform.Append{Topic: "chervilgauge.leader", At: at, Records: [][]byte{
			fmt.Appendf(nil, `{"kind":"claim","name":"other","addr":"127.0.0.1:1","nonce":"o","token":%d}`, at+1),
			fmt.Appendf(nil, `{"kind":"resign","name":"other","addr":"127.0.0.1:1","nonce":"o","token":%d}`, at+1),
		}})
		return err == nil
	})
	r.until("the entry has claimed again", func() bool {
		l := a.elector.Leader()
		return l.IsSelf && l.Token > first
	})
	close(reclaimed)
	r.until("a leader runs under the new token", func() bool {
		token := fmt.Sprintf(`"token":%d,`, a.elector.Leader().Token)
		return slices.ContainsFunc(strings.Split(r.log.String(), "\n"), func(line string) bool {
			return strings.Contains(line, "leading starts") && strings.Contains(line, token)
		})
	})
	r.until("a job is accepted", func() bool {
		status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), oneStepJob)
		return status == http.StatusOK
	})
	r.until("job is complete", func() bool { return r.jobState(0, jobPath("a", 1)) == "complete" })
}
