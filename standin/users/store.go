package users

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// rowKey identifies a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store holds the rows of all tables and their change history.
type store struct {
	rows    map[rowKey]row
	version uint64
	history []row
	waiters []waiter
	// truncatedUpTo is the version up to which changes are missing from the
	// history.
	truncatedUpTo uint64
	partBusyUntil map[string]time.Time // by part: end of the last transaction that waits
}

// waiter is a feed request that waits for changes of a table.
type waiter struct {
	table string
	after uint64
	until time.Time
	reply chan []row // capacity 1
}

func newStore() store {
	return store{rows: map[rowKey]row{}, partBusyUntil: map[string]time.Time{}}
}

// maxPartWait is how long the transactions that wait for a part may take in all.
const maxPartWait = time.Second

// queue adds a transaction that takes d to those that wait for a part. It returns
// the time until the transaction has been executed; ok is false if it is refused.
func (s *store) queue(part string, now time.Time, d time.Duration) (wait time.Duration, ok bool) {
	start := now
	if busy := s.partBusyUntil[part]; busy.After(now) {
		start = busy
	}
	if start.Sub(now) > maxPartWait {
		return 0, false
	}
	s.partBusyUntil[part] = start.Add(d)
	return start.Add(d).Sub(now), true
}

func (s *store) set(key rowKey, value []byte) {
	s.version++
	s.put(key, value)
	s.notify()
}

func (s *store) put(key rowKey, value []byte) {
	r := row{rowKey: key, Value: value, Version: s.version}
	s.rows[key] = r
	s.history = append(s.history, r)
}

// notify answers the waiters whose table has changed.
func (s *store) notify() {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		changes := s.changesAfter(w.table, w.after)
		if len(changes) > 0 {
			w.reply <- changes
		}
		return len(changes) > 0
	})
}

// expire answers the waiters whose time is up with no changes.
func (s *store) expire(now time.Time) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		expired := now.After(w.until)
		if expired {
			w.reply <- nil
		}
		return expired
	})
}

// changesAfter returns the changes of a table since a version.
func (s *store) changesAfter(table string, after uint64) []row {
	var list []row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	return list
}

type transaction struct {
	Expect []struct {
		rowKey
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Set []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"set-keys"`
	Remove []rowKey `json:"remove"`
}

// part returns the part whose rows the transaction is about.
func (tx *transaction) part() string {
	switch {
	case len(tx.Set) > 0:
		return tx.Set[0].Part
	case len(tx.Expect) > 0:
		return tx.Expect[0].Part
	}
	return ""
}

// apply executes a transaction if all of its preconditions hold; otherwise it
// returns the current rows of all preconditions.
func (s *store) apply(tx transaction) (conflict []row, ok bool) {
	ok = true
	for _, e := range tx.Expect {
		r := s.rows[e.rowKey]
		r.rowKey = e.rowKey
		conflict = append(conflict, r)
		ok = ok && r.Version == e.Version
	}
	if !ok {
		return conflict, false
	}
	s.version++
	for _, set := range tx.Set {
		s.put(set.rowKey, set.Value)
	}
	for _, key := range tx.Remove {
		delete(s.rows, key)
		s.history = append(s.history, row{rowKey: key, Version: s.version, Removed: true})
	}
	s.notify()
	return nil, true
}

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"ver"`
	Now     int64  `json:"now-ms"`
}

func (p *Platform) handleStore(ctx *fasthttp.RequestCtx) {
	down, lose, delay := false, false, time.Duration(0)
	p.do(func() { down, lose, delay = p.storeDown, p.chance(p.faults.LoseAnswers), p.faults.StoreDelay })
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	switch string(ctx.Path()) {
	case "/rows-tx":
		p.transact(ctx)
		if lose {
			closeWithoutAnswer(ctx)
		}
	case "/rows-get":
		p.get(ctx)
	case "/rows-parts":
		p.parts(ctx)
	case "/rows-feed":
		p.feed(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx) {
	var tx transaction
	if err := json.Unmarshal(ctx.PostBody(), &tx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var wait time.Duration
	accepted := true
	p.do(func() {
		if d := p.faults.TransactionTime; d > 0 {
			wait, accepted = p.store.queue(tx.part(), time.Now(), d)
		}
	})
	if !accepted {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	time.Sleep(wait)
	answer := rowsAnswer{Now: p.clock()}
	ok := false
	p.do(func() {
		answer.Rows, ok = p.store.apply(tx)
		answer.Version = p.store.version
	})
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	}
	reply(ctx, answer)
}

func (p *Platform) get(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	table, part, from, to := string(q.Peek("table")), string(q.Peek("part")), string(q.Peek("from")), string(q.Peek("target"))
	limit := q.GetUintOrZero("limit")
	answer := rowsAnswer{Now: p.clock()}
	p.do(func() {
		for key, r := range p.store.rows {
			if key.Table == table && key.Part == part && key.Key >= from && (to == "" || key.Key < to) {
				answer.Rows = append(answer.Rows, r)
			}
		}
		answer.Version = p.store.version
	})
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(answer.Rows) > limit {
		answer.Rows, answer.More = answer.Rows[:limit], true
	}
	reply(ctx, answer)
}

func (p *Platform) parts(ctx *fasthttp.RequestCtx) {
	table := string(ctx.QueryArgs().Peek("table"))
	var answer struct {
		Parts []string `json:"parts"`
		More  bool     `json:"has-more"`
	}
	p.do(func() {
		for key := range p.store.rows {
			if key.Table == table && !slices.Contains(answer.Parts, key.Part) {
				answer.Parts = append(answer.Parts, key.Part)
			}
		}
	})
	slices.Sort(answer.Parts)
	reply(ctx, answer)
}

func (p *Platform) feed(ctx *fasthttp.RequestCtx) {
	q := ctx.QueryArgs()
	w := waiter{
		table: string(q.Peek("table")), after: uint64(q.GetUintOrZero("after")), reply: make(chan []row, 1),
		until: time.Now().Add(time.Duration(q.GetUintOrZero("wait-ms")) * time.Millisecond),
	}
	truncated := false
	p.do(func() {
		if truncated = w.after < p.store.truncatedUpTo; truncated {
			return
		}
		p.store.waiters = append(p.store.waiters, w)
		p.store.notify()
	})
	if truncated {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	answer := rowsAnswer{Now: p.clock(), Version: w.after}
	select {
	case answer.Rows = <-w.reply:
	case <-p.stopped:
	}
	for _, r := range answer.Rows {
		answer.Version = max(answer.Version, r.Version)
	}
	reply(ctx, answer)
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
