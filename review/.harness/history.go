package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["history"] = playHistory }

// historyJobs is how many jobs the deployment has completed before the case.
func historyJobs(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
		return n
	}
	return usual
}

// firstVersion leaves versions for the rows of the past.
const firstVersion = 10_000_000

// addHistory stores the rows of completed jobs: copies of those that the system itself
// has stored for a job that it has completed, under other ids.
func (e *env) addHistory(prefix string, n int) error {
	id, body := e.job(6, 300*time.Millisecond)
	if e.nodes[0].request("POST", prefix+id, body, 3*time.Second).status != 200 {
		return fmt.Errorf("job %s was not accepted", id)
	}
	if !eventually(10*time.Second, func() bool {
		return strings.Contains(e.nodes[0].request("GET", prefix+id, "", 3*time.Second).body, "completed")
	}) {
		return fmt.Errorf("job %s is not completed", id)
	}
	var samples []row
	for _, table := range []string{"work", "progress"} {
		for _, r := range e.store.all(table) {
			if strings.Contains(r.Key, id) {
				samples = append(samples, r)
			}
		}
	}
	if len(samples) != 2 {
		return fmt.Errorf("job %s has %d rows in the store, want 2", id, len(samples))
	}
	// In small groups, so that the store answers meanwhile.
	const group = 500
	for i := 0; i < n; i += group {
		e.store.mu.Lock()
		present := e.store.version
		for j := i; j < min(n, i+group); j++ {
			other := newID()
			e.store.version = uint64(2*j + 1)
			for _, sample := range samples {
				key := rowID{sample.Table, sample.Part, strings.ReplaceAll(sample.Key, id, other)}
				if sample.Table == "work" {
					h := fnv.New32a()
					_, _ = h.Write([]byte(other))
					queue, _, _ := strings.Cut(sample.Part, "-")
					key.Part = queue + "-" + strconv.Itoa(int(h.Sum32()%64))
				}
				e.store.put(key, bytes.ReplaceAll(sample.Value, []byte(id), []byte(other)), false)
			}
		}
		e.store.version = present
		e.store.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	for _, table := range []string{"work", "progress"} {
		for part := range e.store.tables[table] {
			e.store.mu.Lock()
			e.store.part(table, part, true).sort()
			e.store.mu.Unlock()
		}
	}
	e.note("STORE", "rows of %d completed jobs added, as a deployment of some age has them", n)
	return nil
}

// playHistory: the owner of a pool is killed in a deployment that has completed many jobs.
func playHistory(e *env) error {
	const (
		service = "kencana"
		prefix  = "/puxa400/"
	)
	e.store.version, e.store.truncated = firstVersion, firstVersion
	for i := range 9 {
		if err := e.addMachine(fmt.Sprintf("m-%d", i+1), service); err != nil {
			return err
		}
	}
	e.configure(3, []string{service}, []route{{"r-1", prefix, service}})
	if err := e.startNodes(); err != nil {
		return err
	}
	if err := e.warmUp(prefix); err != nil {
		return err
	}
	if err := e.addHistory(prefix, historyJobs(250_000)); err != nil {
		return err
	}
	var owner *node
	for _, n := range e.nodes {
		if n.holds(service) {
			owner = n
		}
	}
	if owner == nil {
		return fmt.Errorf("no node holds the pool's lease")
	}
	if e.trouble {
		owner.kill()
		time.Sleep(3500 * time.Millisecond) // for_s of node_kill in the site file
		if err := owner.start(); err != nil {
			return err
		}
	}
	stop := e.limitMemory()
	defer stop()
	time.Sleep(12 * time.Second) // recovery-s
	jobs, err := e.submit(prefix, 3, 0)
	if err != nil {
		return err
	}
	return e.checkStarted(prefix, jobs, 40*time.Second)
}

// memoryMB is memory-mb of the settings file. A process that exceeds it is killed and
// started again after a short delay.
const memoryMB = 284

// limitMemory watches the memory of the nodes until the function that it returns is called.
func (e *env) limitMemory() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, n := range e.nodes {
				if mb := n.residentMB(); mb > memoryMB {
					e.note("MEMORY", "%s uses %d MB, the limit is %d MB", n.name, mb, memoryMB)
					n.kill()
					time.Sleep(500 * time.Millisecond)
					_ = n.start()
				}
			}
		}
	}()
	return func() { close(done); <-ended }
}

// residentMB returns the resident memory of the process.
func (n *node) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}
