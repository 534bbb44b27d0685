package workload

import (
	"hash/fnv"
	"strconv"
)

// JobKey identifies a job. Its ID alone does not: callers choose it, and those of
// different queues may choose the same one.
type JobKey struct {
	Queue string // key of the job's queue
	ID    string
}

// Key returns the identity of the submitted job.
func (s *Submission) Key() JobKey { return JobKey{Queue: s.Queue.Key(), ID: s.ID} }

// BelongsTo reports whether the progress may be that of a job of the queue with the given
// key.
func (p *Progress) BelongsTo(queue string) bool { return p.Queue == "" || p.Queue == queue }

// Key returns the key of the queue. It is derived from host and prefix, because the
// configured name may be given to another queue while a caller is retrying a submission.
func (q *Queue) Key() string { return QueueKey(q.Host, q.Prefix) }

// QueueKey returns the key of the queue with the given host and prefix. It is part of the
// stored format.
func QueueKey(host, prefix string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host + "\x00" + prefix))
	return strconv.FormatUint(h.Sum64(), 36)
}
