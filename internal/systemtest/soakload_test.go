package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/standin/users"
)

const callTimeout = 2 * time.Second

// exchange makes one call; status 0 means that no answer arrived.
func exchange(c *fasthttp.Client, method, addr, path, body string) (status int, text string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetHost(users.Host)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	req.UseHostHeader = true
	req.SetBodyString(body)
	if err := c.DoTimeout(req, resp, callTimeout); err != nil {
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// askState returns a job's state, or "gone" if the node answers 410.
func askState(c *fasthttp.Client, addr, path string) (state string, ok bool) {
	status, text := exchange(c, fasthttp.MethodGet, addr, path, "")
	switch status {
	case fasthttp.StatusGone:
		return "gone", true
	case fasthttp.StatusOK:
		var answer map[string]string
		if json.Unmarshal([]byte(text), &answer) != nil {
			return "", false
		}
		return answer["state"], true
	}
	return "", false
}

// runCaller submits jobs to random nodes over persistent connections until ctx
// ends. It repeats submissions without a final answer, polls job states and
// cancels some jobs.
func (s *soak) runCaller(ctx context.Context, random *rand.Rand) {
	clients := make([]*fasthttp.Client, len(s.nodes))
	for i := range clients {
		clients[i] = &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry}
	}
	var lasting []string // accepted long-running jobs that were not cancelled
	for ctx.Err() == nil {
		switch id, j, outcome := s.submitJob(clients, random); {
		case outcome == submitAccepted && j.lasting:
			lasting = append(lasting, id)
		case outcome == submitAccepted:
			s.pollOrCancel(ctx, clients, random, id, j)
		case outcome == submitUndetermined:
			s.cancel(clients, random, id) // the submission may still be under way
		}
		if len(lasting) > maxLastingJobs {
			s.cancel(clients, random, lasting[0])
			lasting = lasting[1:]
		}
		time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
	}
}

// maxLastingJobs is the number of long-running jobs that a caller keeps. All
// callers together use less than half of the default workers for them.
const maxLastingJobs = 2

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// submitOutcome is what a caller knows about a submission.
type submitOutcome int

const (
	submitRefused submitOutcome = iota
	submitAccepted
	submitUndetermined // an attempt ended without a final answer
)

// submitJob submits a job. It repeats attempts without a final answer. Fields of the
// returned view that the checker updates belong to its goroutine.
func (s *soak) submitJob(clients []*fasthttp.Client, random *rand.Rand) (id string, j *jobView, outcome submitOutcome) {
	number := random.Uint64()
	id = fmt.Sprintf("%016x", number)
	j = &jobView{queue: users.Prefix, steps: 1 + random.IntN(2), width: 1 + random.IntN(4), occurrences: 1, sent: true}
	spec, extra, schedule := "soak", "", ""
	switch number % 8 {
	case 0:
		j.lasting, j.steps, j.width = true, 1, 1+random.IntN(2)
		spec, extra = users.LastingSpec, `"long-running":true,`
	case 1: // a task takes longer than the period, so that the occurrences overlap
		j.occurrences = 2 + random.IntN(2)
		schedule = fmt.Sprintf(`,"repeat-count":%d,"start-ms":%d,"period-ms":%d`, j.occurrences, time.Now().UnixMilli()+int64(random.IntN(400)), 50+random.IntN(150))
	}
	steps := ""
	for n := range j.steps {
		after := ","
		if n > 0 {
			after = fmt.Sprintf(`,"after":[%d],`, n-1)
			steps += ","
		}
		steps += fmt.Sprintf(`{"count":%d,"cpu":1500,"mem-mb":100%s%s"est-runtime-ms":250}`, j.width, after, extra)
	}
	body := `{"spec":"` + spec + `","steps":[` + steps + `]` + schedule + `}`
	recorded := make(chan struct{})
	s.postUpdate(func(c *soakChecker) { c.jobs[id] = j; close(recorded) })
	<-recorded // the checker must know the job before its tasks can start
	attempts := 5
	if random.IntN(4) == 0 {
		attempts = 1 // the caller gives up early
	}
	for range attempts {
		n := random.IntN(len(s.nodes))
		status, _ := exchange(clients[n], fasthttp.MethodPost, s.nodes[n].callerAddr, j.queue+id, body)
		if status == fasthttp.StatusOK {
			s.postUpdate(func(*soakChecker) { j.accepted = true })
			return id, j, submitAccepted
		}
		if status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests {
			outcome = submitUndetermined
			s.postUpdate(func(*soakChecker) { j.undetermined = true })
		}
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
	return id, j, outcome
}

// pollOrCancel polls the job's state up to three times, or cancels the job.
func (s *soak) pollOrCancel(ctx context.Context, clients []*fasthttp.Client, random *rand.Rand, id string, j *jobView) {
	if random.IntN(10) == 0 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		s.cancel(clients, random, id)
		return
	}
	for range 1 + random.IntN(3) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		n := random.IntN(len(s.nodes))
		if state, ok := askState(clients[n], s.nodes[n].callerAddr, j.queue+id); ok {
			s.postUpdate(func(c *soakChecker) { c.applyState(id, state) })
		}
	}
}

// cancel cancels a job. Whatever the answer is, the checker no longer waits for
// the job's end.
func (s *soak) cancel(clients []*fasthttp.Client, random *rand.Rand, id string) {
	n := random.IntN(len(s.nodes))
	status, _ := exchange(clients[n], fasthttp.MethodDelete, s.nodes[n].callerAddr, users.Prefix+id, "")
	at := time.Now()
	if status != fasthttp.StatusOK && status != fasthttp.StatusGone {
		at = at.Add(time.Hour) // may or may not take effect, so starts stay allowed
	}
	s.postUpdate(func(c *soakChecker) { c.jobs[id].cancelledAt = at })
}

func (s *soak) postUpdate(update func(c *soakChecker)) { s.updates <- update }

// clearFaultsEvery is the average number of steps between clearings of all
// faults; without them faults accumulate until nothing is served.
const clearFaultsEvery = 5

// injectFaults injects random, overlapping faults until ctx ends.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := []func() string{
		s.killNode, s.pauseNode, s.terminateNode, s.setStoreProxyMode, s.silenceStoreConns, s.setWorkerProxyMode, s.crashWorker,
		s.degradeStore, s.setStoreOutage, s.dropStoreHistory, s.degradeWorkers, s.changeQueues,
	}
	for ctx.Err() == nil {
		if s.random.IntN(clearFaultsEvery) == 0 {
			s.clearFaults()
			s.injectedFaults = append(s.injectedFaults, "calm")
		} else {
			s.injectedFaults = append(s.injectedFaults, kinds[s.random.IntN(len(kinds))]())
		}
		s.changeEntries()
		time.Sleep(time.Duration(150+s.random.IntN(700)) * time.Millisecond)
	}
}

// oddEntries are values that no worker writes, with %s in place of the pool's name. An
// entry with such a value names no worker to use.
var oddEntries = []string{
	"\xff\x00", ``, `7`, `[]`, `{"service":"%s"}`, strings.Repeat("[", 20_000), strings.Repeat(`{"a":`, 20_000),
	`{"service":"%s","addr":"10.0.0.1:99999","zone":"z","state":"ready","capacity":{"cpu":16000,"mem-mb":32768}}`,
	`{"service":"%s","addr":"10.0.0.1","zone":"z","state":"ready","capacity":{"cpu":16000,"mem-mb":32768}}`,
	`{"service":"%s","addr":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":9223372036854775807,"mem-mb":1}}`,
	`{"service":"%s","addr":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":1e400,"mem-mb":1}}`,
	`{"service":"%s","addr":"127.0.0.1:1","zone":"z","state":"ready","born":-1,"capacity":{"cpu":16000,"mem-mb":32768}}`,
	`{"service":"%s","addr":"127.0.0.1:1","zone":"z","state":"resting","capacity":{"cpu":16000,"mem-mb":32768}}`,
	`{"service":"unknown","addr":"127.0.0.1:1","zone":"z","state":"ready","remaining-ms":1e300,"capacity":{"cpu":16000,"mem-mb":32768}}`,
}

// changeEntries writes odd rows among the workers' entries and sometimes removes them
// all. It has random numbers of its own, so that the faults of a seed stay the same.
func (s *soak) changeEntries() {
	if s.entryRandom.IntN(3) == 0 {
		s.platform.RestoreEntries()
		return
	}
	value := []byte(strings.Replace(oddEntries[s.entryRandom.IntN(len(oddEntries))], "%s", users.Pool, 1))
	ids := s.platform.WorkerIDs()
	id := ids[s.entryRandom.IntN(len(ids))]
	switch s.entryRandom.IntN(4) {
	case 0:
		s.platform.WriteEntry("", id, value) // in place of the worker's own entry
	case 1:
		s.platform.WriteEntry("other", id, value)
	default:
		s.platform.WriteEntry("", fmt.Sprintf("odd-%d", s.entryRandom.IntN(20)), value)
	}
}

// clearFaults ends all faults and restarts nodes that have exited.
func (s *soak) clearFaults() {
	s.platform.SetStoreDown(false)
	s.platform.SetFaults(users.Faults{})
	s.platform.RestoreEntries()
	for _, p := range s.workerProxies {
		p.setMode(modePass)
	}
	for _, n := range s.nodes {
		n.storeProxy.setMode(modePass)
		if n.paused {
			n.process.signal(syscall.SIGCONT)
			n.paused = false
		}
		s.restartExited(n)
	}
}

// restartExited starts a node again that has exited. One that was neither killed nor
// terminated has ended by itself, which is a finding.
func (s *soak) restartExited(n *soakNode) {
	if !n.process.exited() {
		return
	}
	if !n.mayExit {
		exit := n.process.describeExit()
		s.postUpdate(func(c *soakChecker) { c.addFinding("%s ended by itself: %s", n.name, exit) })
	}
	s.startNode(n)
}

func (s *soak) randomNode() *soakNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// ensureRunning restarts a node that has exited and continues one that is paused.
func (s *soak) ensureRunning(n *soakNode) {
	if n.paused {
		n.process.signal(syscall.SIGCONT)
		n.paused = false
	}
	s.restartExited(n)
}

func (s *soak) killNode() string {
	n := s.randomNode()
	n.mayExit = true
	n.process.kill()
	n.paused = false
	if s.random.IntN(2) == 0 {
		s.startNode(n)
	}
	return "kill " + n.name
}

func (s *soak) pauseNode() string {
	n := s.randomNode()
	if n.paused || n.process.exited() {
		s.ensureRunning(n)
		return "resume or restart " + n.name
	}
	n.process.signal(syscall.SIGSTOP)
	n.paused = true
	return "pause " + n.name
}

func (s *soak) terminateNode() string {
	n := s.randomNode()
	s.ensureRunning(n)
	n.mayExit = true
	n.process.signal(syscall.SIGHUP)
	n.process.signal(syscall.SIGTERM)
	return "terminate " + n.name
}

func (s *soak) randomProxyMode() proxyMode {
	return []proxyMode{modePass, modeDelay, modeSilent, modeDropToServer, modeDropToClient, modeReset}[s.random.IntN(6)]
}

func (s *soak) setStoreProxyMode() string {
	n, m := s.randomNode(), s.randomProxyMode()
	n.storeProxy.setMode(m)
	return fmt.Sprintf("store proxy of %s in mode %d", n.name, m)
}

func (s *soak) silenceStoreConns() string {
	n := s.randomNode()
	n.storeProxy.silenceOpenConns()
	return "drop data on open connections of " + n.name + " to the store"
}

func (s *soak) setWorkerProxyMode() string {
	i, m := s.random.IntN(len(s.workerProxies)), s.randomProxyMode()
	s.workerProxies[i].setMode(m)
	if s.random.IntN(3) == 0 {
		s.workerProxies[i].silenceOpenConns()
	}
	return fmt.Sprintf("proxy of worker %d in mode %d", i, m)
}

func (s *soak) crashWorker() string {
	ids := s.platform.WorkerIDs()
	id := ids[s.random.IntN(len(ids))]
	s.platform.Crash(id)
	return "crash " + id
}

func (s *soak) degradeStore() string {
	s.platform.SetFaults(users.Faults{
		StoreDelay: time.Duration(s.random.IntN(60)) * time.Millisecond, LoseAnswers: 0.3 * s.random.Float64(),
	})
	return "store is slow and loses answers"
}

func (s *soak) degradeWorkers() string {
	s.platform.SetFaults(users.Faults{DelayedCommands: 0.2 * s.random.Float64(), CommandDelay: 2 * time.Second, FailRuns: 0.05})
	return "workers execute orders late, and runs fail"
}

func (s *soak) setStoreOutage() string {
	down := s.random.IntN(3) == 0
	s.platform.SetStoreDown(down)
	return fmt.Sprintf("store outage %t", down)
}

func (s *soak) dropStoreHistory() string {
	s.platform.DropHistory()
	return "store history dropped"
}

func (s *soak) changeQueues() string {
	n := s.random.IntN(3)
	s.platform.SetQueues(n)
	return fmt.Sprintf("%d queues", 1+n)
}
