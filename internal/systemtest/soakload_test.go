package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/standin/users"
)

const callTimeout = 2 * time.Second

// exchange makes one call; status 0 means that there was no answer.
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

// askState returns a job's state, or "gone".
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

// call submits jobs to changing nodes over connections that stay open, repeats
// what got no final answer, asks for states and cancels some jobs.
func (s *soak) call(ctx context.Context, random *rand.Rand) {
	clients := make([]*fasthttp.Client, len(s.nodes))
	for i := range clients {
		clients[i] = &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry}
	}
	for ctx.Err() == nil {
		s.submit(ctx, clients, random)
		time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
	}
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

func (s *soak) submit(ctx context.Context, clients []*fasthttp.Client, random *rand.Rand) {
	id := fmt.Sprintf("%016x", random.Uint64())
	j := &jobView{queue: users.Prefix, steps: 1 + random.IntN(2), width: 1 + random.IntN(4), sent: true}
	steps := ""
	for n := range j.steps {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"after":[%d],`, n-1)
			steps += ","
		} else {
			after = ","
		}
		steps += fmt.Sprintf(`{"count":%d,"cpu":1500,"mem-mb":100%s"est-runtime-ms":250}`, j.width, after)
	}
	body := `{"spec":"soak","steps":[` + steps + `]}`
	known := make(chan struct{})
	s.tell(func(c *soakCheck) { c.jobs[id] = j; close(known) })
	<-known // before its tasks can start
	const attempts = 5
	for range attempts {
		n := random.IntN(len(s.nodes))
		status, _ := exchange(clients[n], fasthttp.MethodPost, s.nodes[n].callers, j.queue+id, body)
		if status == fasthttp.StatusOK {
			s.tell(func(*soakCheck) { j.accepted = true })
			s.follow(ctx, clients, random, id, j)
			return
		}
		if status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests {
			s.tell(func(*soakCheck) { j.maybe = true })
		}
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
}

// follow asks for the job's state some times, or cancels it.
func (s *soak) follow(ctx context.Context, clients []*fasthttp.Client, random *rand.Rand, id string, j *jobView) {
	if random.IntN(10) == 0 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		n := random.IntN(len(s.nodes))
		// Cancelled from now on as far as its end goes, whatever the answer is.
		status, _ := exchange(clients[n], fasthttp.MethodDelete, s.nodes[n].callers, j.queue+id, "")
		at := time.Now()
		if status != fasthttp.StatusOK {
			at = at.Add(time.Hour) // may take effect, or not
		}
		s.tell(func(*soakCheck) { j.cancelled = at })
		return
	}
	for range 1 + random.IntN(3) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		n := random.IntN(len(s.nodes))
		if state, ok := askState(clients[n], s.nodes[n].callers, j.queue+id); ok {
			s.tell(func(c *soakCheck) { c.told(id, state) })
		}
	}
}

func (s *soak) tell(f func(c *soakCheck)) { s.answers <- f }

// calmEvery is the number of steps after which all faults end, on average; else
// they pile up until nothing is served.
const calmEvery = 5

// disturb injects faults in series that overlap until ctx ends.
func (s *soak) disturb(ctx context.Context) {
	kinds := []func() string{
		s.killNode, s.pauseNode, s.terminateNode, s.cutStore, s.hushStore, s.cutWorker, s.crashWorker,
		s.faultyStore, s.storeAway, s.dropHistory, s.lateOrders, s.changeQueues,
	}
	for ctx.Err() == nil {
		if s.random.IntN(calmEvery) == 0 {
			s.heal()
			s.faults = append(s.faults, "calm")
		} else {
			s.faults = append(s.faults, kinds[s.random.IntN(len(kinds))]())
		}
		time.Sleep(time.Duration(150+s.random.IntN(700)) * time.Millisecond)
	}
}

// heal ends all faults.
func (s *soak) heal() {
	s.platform.SetDown(false)
	s.platform.SetFaults(users.Faults{})
	for _, p := range s.workers {
		p.set(passes)
	}
	for _, n := range s.nodes {
		n.store.set(passes)
		if n.stopped {
			n.process.signal(syscall.SIGCONT)
			n.stopped = false
		}
		if n.process.gone() {
			s.start(n)
		}
	}
}

func (s *soak) node() *soakNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// revive starts a node that has ended and wakes one that is paused.
func (s *soak) revive(n *soakNode) {
	if n.stopped {
		n.process.signal(syscall.SIGCONT)
		n.stopped = false
	}
	if n.process.gone() {
		s.start(n)
	}
}

func (s *soak) killNode() string {
	n := s.node()
	n.process.kill()
	n.stopped = false
	if s.random.IntN(2) == 0 {
		s.start(n)
	}
	return "kill " + n.name
}

func (s *soak) pauseNode() string {
	n := s.node()
	if n.stopped || n.process.gone() {
		s.revive(n)
		return "revive " + n.name
	}
	n.process.signal(syscall.SIGSTOP)
	n.stopped = true
	return "pause " + n.name
}

func (s *soak) terminateNode() string {
	n := s.node()
	s.revive(n)
	n.process.signal(syscall.SIGHUP)
	n.process.signal(syscall.SIGTERM)
	return "terminate " + n.name
}

func (s *soak) mode() proxyMode {
	return []proxyMode{passes, delays, silent, cutForward, cutBack, resets}[s.random.IntN(6)]
}

func (s *soak) cutStore() string {
	n, m := s.node(), s.mode()
	n.store.set(m)
	return fmt.Sprintf("store of %s mode %d", n.name, m)
}

func (s *soak) hushStore() string {
	n := s.node()
	n.store.hush()
	return "open connections of " + n.name + " to the store go silent"
}

func (s *soak) cutWorker() string {
	i, m := s.random.IntN(len(s.workers)), s.mode()
	s.workers[i].set(m)
	if s.random.IntN(3) == 0 {
		s.workers[i].hush()
	}
	return fmt.Sprintf("worker %d mode %d", i, m)
}

func (s *soak) crashWorker() string {
	ids := s.platform.WorkerIDs()
	id := ids[s.random.IntN(len(ids))]
	s.platform.Crash(id)
	return "crash " + id
}

func (s *soak) faultyStore() string {
	s.platform.SetFaults(users.Faults{
		StoreDelay: time.Duration(s.random.IntN(60)) * time.Millisecond, LoseAnswers: 0.3 * s.random.Float64(),
	})
	return "store is slow and loses answers"
}

func (s *soak) lateOrders() string {
	s.platform.SetFaults(users.Faults{LateOrders: 0.2 * s.random.Float64(), LateBy: 2 * time.Second, FailRuns: 0.05})
	return "workers carry orders out late, and runs fail"
}

func (s *soak) storeAway() string {
	down := s.random.IntN(3) == 0
	s.platform.SetDown(down)
	return fmt.Sprintf("store away %t", down)
}

func (s *soak) dropHistory() string {
	s.platform.DropHistory()
	return "history dropped"
}

func (s *soak) changeQueues() string {
	n := s.random.IntN(3)
	s.platform.SetQueues(n)
	return fmt.Sprintf("%d queues", 1+n)
}
