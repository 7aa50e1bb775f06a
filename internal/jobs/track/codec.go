package track

import (
	"math"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// ErrRecord is the class of stored records that can't be read.
var ErrRecord = errs.Class("job record")

// Record is one record to store. A nil Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Keys: the job's ID holds the job and later its end, ID/K and ID/K/N/T the progress of occurrence K, ID/complete/N
// block N of the complete occurrences, ID! a cancel, and ID~ a job that an entry stored while it had no leader. Such an entry does not know
// whether the job has ended, so its record must not replace the end.
const (
	progressSeparator = "/"
	cancelSuffix      = "!"
	leaderlessSuffix  = "~"
)

func encode(kind any) []byte {
	var r workpb.Record
	switch k := kind.(type) {
	case *workpb.Work:
		r.Kind = &workpb.Record_Work{Work: k}
	case *workpb.Mark:
		r.Kind = &workpb.Record_Mark{Mark: k}
	case *workpb.Ended:
		r.Kind = &workpb.Record_Ended{Ended: k}
	case *workpb.Cancel:
		r.Kind = &workpb.Record_Cancel{Cancel: k}
	}
	// Encoding fails only for invalid UTF-8, and all strings here were decoded as UTF-8.
	out, _ := proto.Marshal(&r)
	return out
}

// JobRecord returns the record of a job that the leader accepts from a client account, empty for none.
func JobRecord(id string, q model.Queue, account string, body []byte, accepted time.Duration) Record {
	return Record{id, encodeJob(q, account, body, accepted)}
}

// LeaderlessJobRecord returns the record of a job that an entry accepts while it has no leader.
func LeaderlessJobRecord(id string, q model.Queue, account string, body []byte, accepted time.Duration) Record {
	return Record{id + leaderlessSuffix, encodeJob(q, account, body, accepted)}
}

// ForgetRecords returns the records that delete what the leader stored of an ended job.
func ForgetRecords(id string) []Record {
	return []Record{{id, nil}, ForgetCancelRecord(id)}
}

// ForgetCancelRecord returns the record that deletes a cancel.
func ForgetCancelRecord(id string) Record { return Record{id + cancelSuffix, nil} }

// ForgetLeaderlessRecords returns the records that delete what entries stored of a job while they
// had no leader.
func ForgetLeaderlessRecords(id string) []Record {
	return []Record{ForgetCancelRecord(id), {id + leaderlessSuffix, nil}}
}

// JobID returns the ID of the job that a key belongs to.
func JobID(key string) string {
	id, _, _ := strings.Cut(key, progressSeparator)
	return strings.TrimRight(id, cancelSuffix+leaderlessSuffix)
}

func encodeJob(q model.Queue, account string, body []byte, accepted time.Duration) []byte {
	w := &workpb.Work{
		Queue: q.Name, Accepted: accepted.Milliseconds(), Body: body, Service: q.Service,
		Attempts: uint32(q.Attempts), Priority: int32(q.Priority), Slack: q.Slack, Objective: q.Objective.Milliseconds(), Account: account,
	}
	if a := q.Advice; a != nil {
		w.Advice = &workpb.Advice{
			Decision: a.DecisionTime.Milliseconds(), Each: a.PerExecutor.Milliseconds(), Valid: a.TicketTTL.Milliseconds(),
		}
	}
	return encode(w)
}

// CancelRecord returns the record of a cancel at a Unix time.
func CancelRecord(id string, at time.Duration) Record {
	return Record{id + cancelSuffix, encode(&workpb.Cancel{At: at.Milliseconds()})}
}

// Batch is the set of changes since the last batch.
type Batch struct {
	Records []Record
	ended   []*Job
	moved   []move
}

// TakeChanges returns the changes that are not stored and starts a new batch.
func (tr *Tracker) TakeChanges() Batch {
	var out Batch
	blocks := map[completeBlock]struct{}{}
	var deletions []Record
	for _, o := range tr.dirtyOcc {
		if o.Job.IsOver() || len(o.dirtyParts) == 0 {
			o.dirtyParts = nil
			continue
		}
		_, withServices := o.dirtyParts[0]
		if o.Left == 0 {
			blocks[completeBlock{o.Job, o.Number / blockSize}] = struct{}{}
			deletions = append(deletions, o.dropProgress()...)
		} else {
			out.Records = append(out.Records, o.takeProgress()...)
		}
		if !withServices {
			continue
		}
		for s, stored := range o.Job.services {
			if !stored {
				out.moved = append(out.moved, move{o.Job, s})
			}
		}
	}
	for b := range blocks {
		out.Records = append(out.Records, b.record())
	}
	// A batch may be stored in part: what is deleted has to be in a block before.
	out.Records = append(out.Records, deletions...)
	for _, j := range tr.dirtyEnd {
		out.Records = append(out.Records, endRecord(j))
		for id := range j.storedProgress {
			out.Records = append(out.Records, Record{id.key(j.ID), nil})
		}
		j.storedProgress = nil
		out.ended = append(out.ended, j)
	}
	for _, j := range tr.dirtyLeft {
		out.Records = append(out.Records, endRecord(j))
	}
	tr.dirtyOcc, tr.dirtyEnd, tr.dirtyLeft = nil, nil, nil
	return out
}

func endRecord(j *Job) Record {
	return Record{j.ID, encode(&workpb.Ended{
		State: uint32(j.state), At: j.endedAt.Milliseconds(), Queue: j.Queue, Account: j.Account,
		Cores: j.left.Reserved.Cores, Memory: j.left.Reserved.Memory, Accelerators: j.left.Reserved.Accelerators, Spare: j.left.Spare,
	})}
}

// HasChanges reports whether TakeChanges would return anything.
func (tr *Tracker) HasChanges() bool { return len(tr.dirtyOcc)+len(tr.dirtyEnd)+len(tr.dirtyLeft) > 0 }

// MarkStored makes the final states in a stored batch visible to callers, and its services usable. It
// returns the jobs that ended in the batch and those that may use another service now.
func (tr *Tracker) MarkStored(batch Batch) (ended, moved []*Job) {
	for _, j := range batch.ended {
		j.visible = j.state
	}
	for _, m := range batch.moved {
		m.job.services[m.service] = true
		moved = append(moved, m.job)
	}
	return batch.ended, moved
}

// LeaderlessRecord is the decoded record of a job or cancel that an entry stored while it had no
// leader.
type LeaderlessRecord struct {
	ID        string
	Spec      *model.JobSpec
	Settings  model.Queue
	Accepted  time.Duration
	Cancelled bool
	work      *workpb.Work
}

// DecodeLeaderless decodes a record that an entry stored while it had no leader, and returns a zero
// value for any other key. It returns an ErrRecord if the record can't be decoded.
func DecodeLeaderless(key string, value []byte, decode func([]byte) (model.JobSpec, error)) (LeaderlessRecord, error) {
	isJob, isCancel := strings.HasSuffix(key, leaderlessSuffix), strings.HasSuffix(key, cancelSuffix)
	if !isJob && !isCancel || len(value) == 0 {
		return LeaderlessRecord{}, nil
	}
	id := JobID(key)
	var r workpb.Record
	if err := proto.Unmarshal(value, &r); err != nil {
		return LeaderlessRecord{}, ErrRecord.Wrap(err)
	}
	switch x := r.GetKind().(type) {
	case *workpb.Record_Work:
		if !isJob {
			return LeaderlessRecord{}, errKind(key)
		}
		spec, err := decode(x.Work.GetBody())
		if err != nil {
			return LeaderlessRecord{}, ErrRecord.Wrap(err)
		}
		spec.Account = x.Work.GetAccount()
		return LeaderlessRecord{ID: id, Spec: &spec, Settings: settingsOf(x.Work), Accepted: millis(x.Work.GetAccepted()), work: x.Work}, nil
	case *workpb.Record_Cancel:
		if !isCancel {
			return LeaderlessRecord{}, errKind(key)
		}
		return LeaderlessRecord{ID: id, Cancelled: true}, nil
	case *workpb.Record_Mark, *workpb.Record_Ended, nil:
		return LeaderlessRecord{}, errKind(key)
	}
	return LeaderlessRecord{}, nil
}

func settingsOf(w *workpb.Work) model.Queue {
	q := model.Queue{
		Name: w.GetQueue(), Service: w.GetService(), Attempts: int(w.GetAttempts()), Priority: int(w.GetPriority()),
		Slack: w.GetSlack(), Objective: millis(w.GetObjective()),
	}
	if a := w.GetAdvice(); a != nil {
		q.Advice = &model.Advice{DecisionTime: millis(a.GetDecision()), PerExecutor: millis(a.GetEach()), TicketTTL: millis(a.GetValid())}
	}
	return q
}

// maxMillis bounds the times in records, so that sums of them don't overflow.
const maxMillis = math.MaxInt64 / int64(4*time.Millisecond)

// millis converts a number of milliseconds in a record.
func millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxMillis)) * time.Millisecond
}
