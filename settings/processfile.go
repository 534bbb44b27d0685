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

// MaxProcessBytes is the maximum size of the settings file of a process.
const MaxProcessBytes = 256 << 10

const minOperatorKeyBytes = 16

// ReadProcess reads and parses the settings file of a process.
func ReadProcess(path string) (Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseProcess(path, data)
}

// ParseProcess parses process settings. Keys that are absent have the values of
// DefaultProcess. Errors name the source as file. A returned error is a *Problems
// with all problems of the file.
func ParseProcess(file string, data []byte) (Process, error) {
	d := parseText(file, data, MaxProcessBytes)
	p := DefaultProcess()
	for _, s := range d.sections {
		fields, known := processSections[s.name]
		switch {
		case !known:
			d.addProblem(s.line, s, "", "", "one of the sections "+sectionList())
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

// checkProcess checks values that depend on each other.
func (d *document) checkProcess(p *Process) {
	s, m := d.section("membership"), &p.Membership
	if s == nil {
		return
	}
	if m.RowLifetime < m.SuspectAfter+m.RemoveAfter {
		d.addProblem(cmp.Or(s.lines["row_lifetime"], s.line), s, "row_lifetime", formatDuration(m.RowLifetime),
			"at least suspect_after plus remove_after, "+formatDuration(m.SuspectAfter+m.RemoveAfter))
	}
	if m.SuspectAfter < m.Interval {
		d.addProblem(cmp.Or(s.lines["suspect_after"], s.line), s, "suspect_after", formatDuration(m.SuspectAfter),
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

// processSections holds the keys of each section of a process's settings file.
var processSections = map[string][]field[Process]{
	"process": {
		nameField("id", func(p *Process) *string { return &p.ID }).markRequired(),
		nameField("data_centre", func(p *Process) *string { return &p.DataCentre }).markRequired(),
		addrField("peer_listen", func(p *Process) *string { return &p.PeerListen }),
		addrField("admin_listen", func(p *Process) *string { return &p.AdminListen }),
		addrsField("seeds", func(p *Process) *[]string { return &p.Seeds }),
		floatField("peer_loss", func(p *Process) *float64 { return &p.HeartbeatLossRate }, 0, 1),
	},
	"log": {
		enumField("level", func(p *Process) *string { return &p.Log.Level }, "trace", "debug", "info", "warn", "error", "off"),
		enumField("format", func(p *Process) *string { return &p.Log.Format }, "text", "json"),
	},
	"platform": {
		addrField("addr", func(p *Process) *string { return &p.Platform.Addr }).markRequired(),
		shortDurationField("timeout", func(p *Process) *time.Duration { return &p.Platform.Timeout }),
		countField("max_connections", func(p *Process) *int { return &p.Platform.MaxConnections }, 4096),
		longDurationField("max_conn_age", func(p *Process) *time.Duration { return &p.Platform.MaxConnAge }),
	},
	"membership": {
		shortDurationField("interval", func(p *Process) *time.Duration { return &p.Membership.Interval }),
		countField("fanout", func(p *Process) *int { return &p.Membership.Fanout }, 64),
		shortDurationField("suspect_after", func(p *Process) *time.Duration { return &p.Membership.SuspectAfter }),
		shortDurationField("remove_after", func(p *Process) *time.Duration { return &p.Membership.RemoveAfter }),
		longDurationField("row_lifetime", func(p *Process) *time.Duration { return &p.Membership.RowLifetime }),
	},
	"view": {
		shortDurationField("config_poll", func(p *Process) *time.Duration { return &p.View.ConfigPoll }),
		shortDurationField("fleet_poll", func(p *Process) *time.Duration { return &p.View.FleetPoll }),
	},
	"gateway":    gatewayFields,
	"controller": controllerFields,
}

var gatewayFields = []field[Process]{
	addrField("listen", func(p *Process) *string { return &p.Gateway.Listen }),
	countField("max_connections", func(p *Process) *int { return &p.Gateway.MaxConnections }, 1<<20),
	sizeField("max_body", func(p *Process) *int { return &p.Gateway.MaxBody }, 1, configcheck.MaxBodyBytes),
	shortDurationField("read_timeout", func(p *Process) *time.Duration { return &p.Gateway.ReadTimeout }),
	shortDurationField("default_deadline", func(p *Process) *time.Duration { return &p.Gateway.DefaultDeadline }),
	countField("event_ring", func(p *Process) *int { return &p.Gateway.EventRing }, 1<<20),
	countField("endpoint_workers", func(p *Process) *int { return &p.Gateway.EndpointWorkers }, 1<<16),
	countField("journal_workers", func(p *Process) *int { return &p.Gateway.JournalWorkers }, 1024),
	countField("journal_batch", func(p *Process) *int { return &p.Gateway.JournalBatch }, 128),
	shortDurationField("journal_linger", func(p *Process) *time.Duration { return &p.Gateway.JournalLinger }),
	sizeField("inline_answer", func(p *Process) *int { return &p.Gateway.MaxInlineAnswer }, 0, 1<<20),
	longDurationField("conn_idle", func(p *Process) *time.Duration { return &p.Gateway.ConnIdle }),
	longDurationField("conn_age", func(p *Process) *time.Duration { return &p.Gateway.ConnAge }),
	shortDurationField("leave_hold", func(p *Process) *time.Duration { return &p.Gateway.LeaveHold }),
	shortDurationField("drain_grace", func(p *Process) *time.Duration { return &p.Gateway.DrainGrace }),
	longDurationField("drain_timeout", func(p *Process) *time.Duration { return &p.Gateway.DrainTimeout }),
}

var controllerFields = []field[Process]{
	addrField("operator_listen", func(p *Process) *string { return &p.Controller.OperatorListen }),
	secretField("operator_key", func(p *Process) *string { return &p.Controller.OperatorKey }),
	shortDurationField("lease_duration", func(p *Process) *time.Duration { return &p.Controller.LeaseDuration }),
	shortDurationField("reconcile", func(p *Process) *time.Duration { return &p.Controller.Reconcile }),
	longDurationField("drain_timeout", func(p *Process) *time.Duration { return &p.Controller.DrainTimeout }),
}

// shortDurationField returns a field for an interval or timeout that delays the
// reaction to an event. A value above 10 minutes is considered a mistake.
func shortDurationField(key string, ptr func(*Process) *time.Duration) field[Process] {
	return durationField(key, ptr, time.Millisecond, 10*time.Minute)
}

func longDurationField(key string, ptr func(*Process) *time.Duration) field[Process] {
	return durationField(key, ptr, time.Millisecond, 24*time.Hour)
}

func countField(key string, ptr func(*Process) *int, high int) field[Process] {
	return intField(key, ptr, 1, high)
}

func addrField(key string, ptr func(*Process) *string) field[Process] {
	return field[Process]{key: key,
		set: func(into *Process, value string) string {
			if !validAddr(value) {
				return "an address IP:port"
			}
			*ptr(into) = value
			return ""
		},
		get: func(from *Process) string { return *ptr(from) },
	}
}

func addrsField(key string, ptr func(*Process) *[]string) field[Process] {
	return field[Process]{key: key,
		set: func(into *Process, value string) string {
			addrs := splitList(value)
			if len(addrs) > 1000 || slices.ContainsFunc(addrs, func(a string) bool { return !validAddr(a) }) {
				return "at most 1000 addresses IP:port separated by commas"
			}
			*ptr(into) = addrs
			return ""
		},
		get: func(from *Process) string { return strings.Join(*ptr(from), ", ") },
	}
}

// secretField returns a field for a key whose value is left out of errors.
func secretField(key string, ptr func(*Process) *string) field[Process] {
	return field[Process]{key: key, secret: true,
		set: func(into *Process, value string) string {
			if len(value) < minOperatorKeyBytes || len(value) > 256 {
				return fmt.Sprintf("a key of %d to 256 bytes", minOperatorKeyBytes)
			}
			*ptr(into) = value
			return ""
		},
		get: func(from *Process) string { return *ptr(from) },
	}
}
