// Command harness plays the cases of the review that can't be put as a day of the bench.
// It starts the project's processes, stands in for the platform and the clients, and
// exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// env is what a case works with.
type env struct {
	*platform
	nodes   []*node
	trouble bool
}

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(*env) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(*env) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the nodes:", dir)
	}
	p, err := newPlatform(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &env{platform: p, trouble: os.Getenv("TROUBLE") != "0"}
	p.note("CASE", "trouble: %t", e.trouble)
	defer func() {
		for _, n := range e.nodes {
			n.kill()
		}
	}()
	for i := range 3 {
		n, err := newNode(p, dir, fmt.Sprintf("front-z-%d", i+1), fmt.Sprintf("127.0.0.%d", 21+i))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		e.nodes = append(e.nodes, n)
	}
	// A case that is stopped or takes too long ends its processes too.
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- c(e) }()
	select {
	case err = <-result:
	case s := <-stopped:
		err = fmt.Errorf("stopped by signal %s", s)
	case <-time.After(maxTime):
		err = fmt.Errorf("not done within %s", maxTime)
	}
	switch {
	case err == nil:
		p.note("RESULT", "the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		p.note("RESULT", "%v", err)
		fmt.Println(err)
		return 1
	}
	p.note("RESULT", "the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return 2
}

// startNodes starts all nodes and waits until they are ready.
func (e *env) startNodes() error {
	for _, n := range e.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range e.nodes {
		if !eventually(15*time.Second, n.isReady) {
			return fmt.Errorf("%s is not ready", n.name)
		}
	}
	e.note("NODE", "all nodes are ready")
	return nil
}

func eventually(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// job makes a job of one step with tasks of equal length.
func (e *env) job(tasks int, length time.Duration) (id, body string) {
	id = newID()
	e.mu.Lock()
	e.tasks[id] = taskInfo{length: length, cpu: 1000, mem: 256}
	e.mu.Unlock()
	return id, fmt.Sprintf(`{"spec":"work of %s","steps":[{"count":%d,"cpu":1000,"mem-mb":256,"est-runtime-ms":%d}]}`, id, tasks, length.Milliseconds())
}

// submitted is an accepted job.
type submitted struct {
	id string
	at time.Time // of the acknowledgement
}

// submit hands n jobs in at the nodes in turn and returns those that were accepted.
func (e *env) submit(prefix string, n int, gap time.Duration) (jobs []submitted, err error) {
	for i := range n {
		id, body := e.job(4, 500*time.Millisecond)
		if a := e.nodes[i%len(e.nodes)].request("POST", prefix+id, body, 3*time.Second); a.status == 200 {
			jobs = append(jobs, submitted{id, a.at})
		}
		time.Sleep(gap)
	}
	if len(jobs) == 0 {
		return nil, errors.New("no job was accepted")
	}
	return jobs, nil
}

// checkStarted checks the rule LOST for accepted jobs that need a small part of their
// service: none of them has nothing running for 3 s after 4 s without a disruption. It
// waits for starts for the given time.
func (e *env) checkStarted(prefix string, jobs []submitted, watch time.Duration) error {
	const calm, idle = 4 * time.Second, 3 * time.Second
	eventually(watch, func() bool {
		for _, j := range jobs {
			if e.count(j.id, "start") < 4 {
				return false
			}
		}
		return true
	})
	broken, never := 0, 0
	for i, j := range jobs {
		if list := e.eventsOf(j.id); len(list) > 0 {
			waited := list[0].at.Sub(j.at)
			e.note("CHECK", "job %s: its first task started %.3f s after its acknowledgement", j.id, waited.Seconds())
			if waited > calm+idle {
				broken++
			}
			continue
		}
		waited := time.Since(j.at)
		e.note("CHECK", "job %s: no task has started, %.3f s after its acknowledgement", j.id, waited.Seconds())
		e.nodes[i%len(e.nodes)].request("GET", prefix+j.id, "", 3*time.Second)
		never++
		if waited > calm+idle {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("LOST: %w: %d of %d accepted jobs had nothing running for over %s, with the workers of their service idle; %d have not started at all",
			errBroken, broken, len(jobs), calm+idle, never)
	}
	return nil
}

// count counts the starts of a job's tasks, or their ends with the given outcome.
func (e *env) count(job, kind string) (n int) {
	for _, ev := range e.eventsOf(job) {
		if ev.kind == kind {
			n++
		}
	}
	return n
}

// warmUp hands in a short job at each node and waits until all have run.
func (e *env) warmUp(prefix string) error {
	for _, n := range e.nodes {
		id, body := e.job(2, 300*time.Millisecond)
		accepted := eventually(10*time.Second, func() bool { return n.request("POST", prefix+id, body, 3*time.Second).status == 200 })
		if !accepted || !eventually(15*time.Second, func() bool { return e.count(id, "done") == 2 }) {
			return fmt.Errorf("a first job at %s has not run", n.name)
		}
	}
	return nil
}
