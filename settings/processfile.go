package settings

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/carobwharf/carobwharf/configcheck"
)

// MaxProcessBytes bounds the settings file of a process.
const MaxProcessBytes = 256 << 10

const minKeyLen = 16 // bytes of the operators' key

// ReadProcess reads the settings file of a process.
func ReadProcess(path string) (Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseProcess(path, data)
}

// ParseProcess reads process settings over the defaults. file names the
// source in errors. The error, a *Problems, holds every problem of the file.
func ParseProcess(file string, data []byte) (Process, error) {
	d := parseText(file, data, MaxProcessBytes)
	p := DefaultProcess()
	for _, s := range d.sections {
		fields, known := processSections[s.name]
		switch {
		case !known:
			d.refuse(s.line, s, "", "", "one of the sections "+sectionList())
		case s.ini != nil:
			readFields(d, s, fields, &p)
		}
	}
	for _, name := range []string{"process", "platform"} {
		if d.section(name) == nil {
			d.problems.add(Problem{File: file, Want: "a section [" + name + "]"})
		}
	}
	d.checkProcess(&p)
	if err := d.problems.err(); err != nil {
		return Process{}, err
	}
	return p, nil
}

// section returns the section with the given name, or nil.
func (d *document) section(name string) *section {
	i := slices.IndexFunc(d.sections, func(s *section) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return d.sections[i]
}

// checkProcess checks values that depend on one another.
func (d *document) checkProcess(p *Process) {
	s, m := d.section("membership"), &p.Membership
	if s == nil {
		return
	}
	if m.RowLifetime < m.SuspectAfter+m.RemoveAfter {
		d.refuse(cmp.Or(s.lines["row_lifetime"], s.line), s, "row_lifetime", formatDuration(m.RowLifetime),
			"at least suspect_after plus remove_after, "+formatDuration(m.SuspectAfter+m.RemoveAfter))
	}
	if m.SuspectAfter < m.Interval {
		d.refuse(cmp.Or(s.lines["suspect_after"], s.line), s, "suspect_after", formatDuration(m.SuspectAfter),
			"at least interval, "+formatDuration(m.Interval))
	}
}

func sectionList() string {
	names := make([]string, 0, len(processSections))
	for name := range processSections {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// Keys of each section of a process's settings file.
var processSections = map[string][]field[Process]{
	"process": {
		nameField("id", func(p *Process) *string { return &p.ID }).must(),
		nameField("data_centre", func(p *Process) *string { return &p.DataCentre }).must(),
		addrField("peer_listen", func(p *Process) *string { return &p.PeerListen }),
		addrField("admin_listen", func(p *Process) *string { return &p.AdminListen }),
		addrsField("seeds", func(p *Process) *[]string { return &p.Seeds }),
		floatField("peer_loss", func(p *Process) *float64 { return &p.PeerLoss }, 0, 1),
	},
	"log": {
		enumField("level", func(p *Process) *string { return &p.Log.Level }, "trace", "debug", "info", "warn", "error", "off"),
		enumField("format", func(p *Process) *string { return &p.Log.Format }, "text", "json"),
	},
	"platform": {
		addrField("addr", func(p *Process) *string { return &p.Platform.Addr }).must(),
		short("timeout", func(p *Process) *time.Duration { return &p.Platform.Timeout }),
		count("max_connections", func(p *Process) *int { return &p.Platform.MaxConnections }, 4096),
		long("max_conn_age", func(p *Process) *time.Duration { return &p.Platform.MaxConnAge }),
	},
	"membership": {
		short("interval", func(p *Process) *time.Duration { return &p.Membership.Interval }),
		count("fanout", func(p *Process) *int { return &p.Membership.Fanout }, 64),
		short("suspect_after", func(p *Process) *time.Duration { return &p.Membership.SuspectAfter }),
		short("remove_after", func(p *Process) *time.Duration { return &p.Membership.RemoveAfter }),
		long("row_lifetime", func(p *Process) *time.Duration { return &p.Membership.RowLifetime }),
	},
	"view": {
		short("config_poll", func(p *Process) *time.Duration { return &p.View.ConfigPoll }),
		short("fleet_poll", func(p *Process) *time.Duration { return &p.View.FleetPoll }),
	},
	"gateway":    gatewayFields,
	"controller": controllerFields,
}

var gatewayFields = []field[Process]{
	addrField("listen", func(p *Process) *string { return &p.Gateway.Listen }),
	count("max_connections", func(p *Process) *int { return &p.Gateway.MaxConnections }, 1<<20),
	sizeField("max_body", func(p *Process) *int { return &p.Gateway.MaxBody }, 1, configcheck.MaxBodyBytes),
	short("read_timeout", func(p *Process) *time.Duration { return &p.Gateway.ReadTimeout }),
	short("default_deadline", func(p *Process) *time.Duration { return &p.Gateway.DefaultDeadline }),
	count("event_ring", func(p *Process) *int { return &p.Gateway.EventRing }, 1<<20),
	count("endpoint_workers", func(p *Process) *int { return &p.Gateway.EndpointWorkers }, 1<<16),
	count("journal_workers", func(p *Process) *int { return &p.Gateway.JournalWorkers }, 1024),
	count("journal_batch", func(p *Process) *int { return &p.Gateway.JournalBatch }, 128),
	short("journal_linger", func(p *Process) *time.Duration { return &p.Gateway.JournalLinger }),
	sizeField("inline_answer", func(p *Process) *int { return &p.Gateway.InlineAnswer }, 0, 1<<20),
	long("conn_idle", func(p *Process) *time.Duration { return &p.Gateway.ConnIdle }),
	long("conn_age", func(p *Process) *time.Duration { return &p.Gateway.ConnAge }),
	short("leave_hold", func(p *Process) *time.Duration { return &p.Gateway.LeaveHold }),
	short("drain_grace", func(p *Process) *time.Duration { return &p.Gateway.DrainGrace }),
	long("drain_timeout", func(p *Process) *time.Duration { return &p.Gateway.DrainTimeout }),
}

var controllerFields = []field[Process]{
	addrField("operator_listen", func(p *Process) *string { return &p.Controller.OperatorListen }),
	keyField("operator_key", func(p *Process) *string { return &p.Controller.OperatorKey }),
	short("lease_duration", func(p *Process) *time.Duration { return &p.Controller.LeaseDuration }),
	short("reconcile", func(p *Process) *time.Duration { return &p.Controller.Reconcile }),
	long("drain_timeout", func(p *Process) *time.Duration { return &p.Controller.DrainTimeout }),
}

// short is a wait that delays a reaction; more than 10 minutes is a mistake.
func short(key string, at func(*Process) *time.Duration) field[Process] {
	return durationField(key, at, time.Millisecond, 10*time.Minute)
}

func long(key string, at func(*Process) *time.Duration) field[Process] {
	return durationField(key, at, time.Millisecond, 24*time.Hour)
}

func count(key string, at func(*Process) *int, high int) field[Process] {
	return intField(key, at, 1, high)
}

func addrField(key string, at func(*Process) *string) field[Process] {
	return field[Process]{key: key,
		set: func(into *Process, value string) string {
			if !validAddr(value) {
				return "an address IP:port"
			}
			*at(into) = value
			return ""
		},
		get: func(from *Process) string { return *at(from) },
	}
}

func addrsField(key string, at func(*Process) *[]string) field[Process] {
	return field[Process]{key: key,
		set: func(into *Process, value string) string {
			addrs := splitList(value)
			if len(addrs) > 1000 || slices.ContainsFunc(addrs, func(a string) bool { return !validAddr(a) }) {
				return "at most 1000 addresses IP:port separated by commas"
			}
			*at(into) = addrs
			return ""
		},
		get: func(from *Process) string { return strings.Join(*at(from), ", ") },
	}
}

// keyField is a secret: its value does not appear in errors.
func keyField(key string, at func(*Process) *string) field[Process] {
	return field[Process]{key: key, secret: true,
		set: func(into *Process, value string) string {
			if len(value) < minKeyLen || len(value) > 256 {
				return fmt.Sprintf("a key of %d to 256 bytes", minKeyLen)
			}
			*at(into) = value
			return ""
		},
		get: func(from *Process) string { return *at(from) },
	}
}
