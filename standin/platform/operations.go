package platform

import (
	"context"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/ring"
	"github.com/carobwharf/carobwharf/store"
	"github.com/carobwharf/carobwharf/structs"
)

const (
	statusUnavailable = fasthttp.StatusServiceUnavailable
	statusTooMany     = fasthttp.StatusTooManyRequests
)

func okReply(v any) reply { return reply{status: fasthttp.StatusOK, json: v} }

func errorReply(status int, text string, keys ...string) reply {
	return reply{status: status, json: wire.Problem{Error: text, Keys: keys}}
}

type getRow struct{ key string }

func (o getRow) apply(s *state) reply {
	row, found := s.table.get(o.key)
	if !found {
		return errorReply(fasthttp.StatusNotFound, "no such row")
	}
	return okReply(wire.Row(row))
}

type scanRows struct {
	prefix, after string
	limit         int
}

func (o scanRows) apply(s *state) reply {
	rows := s.table.scan(o.prefix, o.after, o.limit)
	out := wire.Rows{Rows: make([]wire.Row, len(rows))}
	for i, r := range rows {
		out.Rows[i] = wire.Row(r)
	}
	return okReply(out)
}

type commitOps struct{ ops []store.Op }

func (o commitOps) apply(s *state) reply {
	versions, conflicts := s.table.commit(o.ops)
	if len(conflicts) > 0 {
		s.counts.Conflicts++
		return errorReply(fasthttp.StatusConflict, "condition failed", conflicts...)
	}
	return okReply(wire.Committed{Versions: versions})
}

type putObject struct {
	name string
	data []byte
}

// Objects are immutable: the first content stored under a name stays.
func (o putObject) apply(s *state) reply {
	if _, exists := s.objects[o.name]; !exists {
		s.objects[o.name] = o.data
	}
	return okReply(struct{}{})
}

type getObject struct{ name string }

func (o getObject) apply(s *state) reply {
	data, found := s.objects[o.name]
	if !found {
		return errorReply(fasthttp.StatusNotFound, "no such object")
	}
	return reply{status: fasthttp.StatusOK, raw: data}
}

type listVMs struct{}

func (listVMs) apply(s *state) reply {
	return okReply(s.fleet.presentAt(s.now().Add(-time.Duration(s.faults.VMLag))))
}

// listVMsIfChanged returns the VM list only if its tag differs from knownTag, the
// tag of the list that the client has.
type listVMsIfChanged struct{ knownTag string }

func (o listVMsIfChanged) apply(s *state) reply {
	vms := s.fleet.presentAt(s.now().Add(-time.Duration(s.faults.VMLag)))
	list := wire.VMList{Tag: tagOf(vms), Changed: true, VMs: vms}
	if list.Tag == o.knownTag {
		list.Changed, list.VMs = false, nil
	}
	return okReply(list)
}

// tagOf returns a hash of the list's content, which identifies it.
func tagOf(vms []structs.VM) string {
	h := fnv.New64a()
	for _, vm := range vms {
		fmt.Fprintf(h, "%v\n", vm)
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

type rebootVM struct{ id string }

func (o rebootVM) apply(s *state) reply {
	now := s.now()
	known, started := s.fleet.reboot(o.id, now, s.cfg.RebootTime)
	if !known {
		return errorReply(fasthttp.StatusNotFound, "no such VM")
	}
	if started {
		s.tasks.failRuns(o.id, now)
	}
	if started && s.reboots != nil {
		r := reboot{vm: o.id, end: now.Add(s.cfg.RebootTime)}
		if s.reboots.Put(context.Background(), r) != nil {
			return errorReply(statusUnavailable, "too many reboots waiting")
		}
	}
	return okReply(struct{}{})
}

type setVMs struct{ vms []structs.VM }

func (o setVMs) apply(s *state) reply {
	s.setVMs(o.vms, s.now())
	return okReply(struct{}{})
}

type replaceFaults struct{ faults Faults }

func (o replaceFaults) apply(s *state) reply {
	s.setFaults(o.faults)
	return okReply(s.faults)
}

type mergeFaults struct{ body []byte }

func (o mergeFaults) apply(s *state) reply {
	f, err := s.faults.mergeJSON(o.body)
	if err != nil {
		return errorReply(fasthttp.StatusBadRequest, err.Error())
	}
	s.setFaults(f)
	return okReply(s.faults)
}

type readFaults struct{}

func (readFaults) apply(s *state) reply { return okReply(s.faults) }

// Snapshot is the answer to GET /state.
type Snapshot struct {
	Rows    int `json:"rows"`
	Objects int `json:"objects"`
	VMs     int `json:"vms"`
	Runs    int `json:"runs"` // running and recently ended ones

	Calls  ring.Stats `json:"calls"`
	Counts Counts     `json:"counts"`
	Tasks  TaskCounts `json:"tasks"`
	Faults Faults     `json:"faults"`
	At     time.Time  `json:"at"`
}

type readState struct{}

func (readState) apply(s *state) reply {
	return okReply(Snapshot{
		Rows:    len(s.table.rows),
		Objects: len(s.objects),
		VMs:     len(s.fleet.presentAt(s.now())),
		Runs:    len(s.tasks.runs),
		Calls:   s.callStats(),
		Counts:  s.counts,
		Tasks:   s.tasks.counts,
		Faults:  s.faults,
		At:      s.now(),
	})
}
