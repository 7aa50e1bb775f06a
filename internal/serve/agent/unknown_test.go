package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a submission that ends as unknown although the store answers again long before its
// caller's timeout: callers can't repeat such a request, and the job is lost.
func TestSubmissionWithUnknownOutcomeIsRepeated(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	lead := r.leader()
	other := 1 - lead
	r.untilFollowed(other, lead)
	for _, p := range r.storeProxies {
		p.Set(fake.Faults{LoseAnswers: true})
	}
	time.AfterFunc(4*time.Second, func() {
		for _, p := range r.storeProxies {
			p.Set(fake.Faults{})
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), untilTimeout)
	defer cancel()
	e := r.entries[other]
	ans := e.Submit(ctx, relay.Submission{ID: "0000000000000001", Queue: "qa", Body: []byte(oneStepJob)}, e.Config().Queue("qa"))
	assert.Equal(t, ans.Verdict, relay.Stored, ans.Cause)
	r.until("the job is complete", func() bool { return r.jobState(lead, jobPath("a", 1)) == "complete" })
	status, _, _ := r.request(other, http.MethodPost, jobPath("a", 1), oneStepJob)
	assert.Equal(t, status, http.StatusOK)
	r.assertNoViolations()
}

// Guards against a refusal, which says that the job never runs, after an attempt that may have stored it.
func TestRefusalAfterAnUnknownAttemptIsUnknown(t *testing.T) {
	for _, v := range []relay.Verdict{relay.Stored, relay.Refused, relay.Limited} {
		assert.Equal(t, refusalAfter(relay.Answer{Verdict: v}, true).Verdict, v)
		want := relay.Unknown
		if v == relay.Stored {
			want = v
		}
		assert.Equal(t, refusalAfter(relay.Answer{Verdict: v}, false).Verdict, want)
	}
}
