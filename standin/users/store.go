package users

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

type address struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	address
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is the table and its history.
type store struct {
	rows    map[address]row
	version uint64
	history []row
	waiters []waiter
	// forgotten is the version up to which the history is not known any more.
	forgotten uint64
}

// waiter is a reader of changes that has found none yet.
type waiter struct {
	table string
	after uint64
	until time.Time
	reply chan []row // capacity 1
}

func newStore() store { return store{rows: map[address]row{}} }

func (s *store) set(a address, value []byte) {
	s.version++
	s.put(a, value)
	s.notify()
}

func (s *store) put(a address, value []byte) {
	r := row{address: a, Value: value, Version: s.version}
	s.rows[a] = r
	s.history = append(s.history, r)
}

// notify answers the readers that have something to read.
func (s *store) notify() {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		changes := s.since(w.table, w.after)
		if len(changes) > 0 {
			w.reply <- changes
		}
		return len(changes) > 0
	})
}

func (s *store) expire(now time.Time) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w waiter) bool {
		late := now.After(w.until)
		if late {
			w.reply <- nil
		}
		return late
	})
}

func (s *store) since(table string, after uint64) []row {
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
		address
		Version uint64 `json:"ver"`
	} `json:"expect"`
	Set []struct {
		address
		Value []byte `json:"value"`
	} `json:"set-keys"`
	Remove []address `json:"remove"`
}

// apply carries a transaction out; it returns the rows of a condition that
// does not hold.
func (s *store) apply(tx transaction) (conflict []row, ok bool) {
	ok = true
	for _, e := range tx.Expect {
		r := s.rows[e.address]
		r.address = e.address
		conflict = append(conflict, r)
		ok = ok && r.Version == e.Version
	}
	if !ok {
		return conflict, false
	}
	s.version++
	for _, set := range tx.Set {
		s.put(set.address, set.Value)
	}
	for _, a := range tx.Remove {
		delete(s.rows, a)
		s.history = append(s.history, row{address: a, Version: s.version, Removed: true})
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
	p.do(func() { down, lose, delay = p.down, p.chance(p.faults.LoseAnswers), p.faults.StoreDelay })
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	switch string(ctx.Path()) {
	case "/rows-tx":
		p.transact(ctx)
		if lose {
			breakOff(ctx)
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
		for a, r := range p.store.rows {
			if a.Table == table && a.Part == part && a.Key >= from && (to == "" || a.Key < to) {
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
		for a := range p.store.rows {
			if a.Table == table && !slices.Contains(answer.Parts, a.Part) {
				answer.Parts = append(answer.Parts, a.Part)
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
	gone := false
	p.do(func() {
		if gone = w.after < p.store.forgotten; gone {
			return
		}
		p.store.waiters = append(p.store.waiters, w)
		p.store.notify()
	})
	if gone {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	answer := rowsAnswer{Now: p.clock(), Version: w.after}
	select {
	case answer.Rows = <-w.reply:
	case <-p.ended:
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
