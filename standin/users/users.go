// Package users simulates the users' platform for tests: its store, workers and
// machine service, over HTTP on loopback addresses. The packages under platform/
// are the clients of its protocols; package standin/platform serves the API of
// peer/platform instead. One goroutine owns all state; the HTTP goroutines post
// functions to it.
package users

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Options configures Start.
type Options struct {
	Workers  int           // in the pool, one on each machine
	TaskTime time.Duration // duration of each run
	// ProxyFor returns the address that a worker registers in place of its own,
	// such as that of a proxy. If it is nil, workers register their own.
	ProxyFor func(addr string) (string, error)
	// ClockRate is the rate of the platform's clock relative to real time; 0
	// means 1.
	ClockRate float64
}

// Names in the configuration of the stand-in.
const (
	Pool    = "pool-1"
	Standby = "pool-0"
	Host    = "jobs.example"
	Prefix  = "/queue/"
)

// Platform is a running stand-in.
type Platform struct {
	opt       Options
	calls     chan func()
	stopped   chan struct{}
	servers   []*fasthttp.Server
	startTime time.Time

	StoreAddr string
	FleetAddr string

	store         store
	workers       map[string]*worker
	overlapping   []string // tasks with two runs at the same time
	storeDown     bool     // the store answers every call with 503
	faults        Faults
	random        *rand.Rand
	events        []Event
	configVersion int
	extraQueues   int // queues in addition to the default one
}

// Start starts a stand-in, which runs until Stop.
func Start(o Options) (*Platform, error) {
	p := &Platform{
		opt: o, calls: make(chan func()), stopped: make(chan struct{}), startTime: time.Now(),
		store: newStore(), workers: map[string]*worker{}, random: rand.New(rand.NewPCG(1, 2)), configVersion: 1,
	}
	if p.opt.ClockRate == 0 {
		p.opt.ClockRate = 1
	}
	go p.loop()
	var err error
	if p.StoreAddr, err = p.serve(p.handleStore); err != nil {
		return nil, err
	}
	if p.FleetAddr, err = p.serve(p.handleFleet); err != nil {
		return nil, err
	}
	for n := range o.Workers {
		if err := p.addWorker(n); err != nil {
			return nil, err
		}
	}
	p.do(p.configure)
	return p, nil
}

// loop runs the posted functions and ends runs and feed requests in time.
func (p *Platform) loop() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case f := <-p.calls:
			f()
		case <-tick.C:
			p.finishRuns()
			p.store.expire(time.Now())
		case <-p.stopped:
			return
		}
	}
}

// do runs f on the goroutine that owns the state and waits for it.
func (p *Platform) do(f func()) {
	done := make(chan struct{})
	select {
	case p.calls <- func() { f(); close(done) }:
		<-done
	case <-p.stopped:
	}
}

func (p *Platform) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("users' platform stand-in: %w", err)
	}
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // returns after Shutdown
	return l.Addr().String(), nil
}

// Stop stops the stand-in.
func (p *Platform) Stop() {
	close(p.stopped)
	for _, s := range p.servers {
		_ = s.Shutdown()
	}
}

// SetStoreDown sets whether the store answers every call with 503.
func (p *Platform) SetStoreDown(down bool) { p.do(func() { p.storeDown = down }) }

// OverlappingTasks returns the tasks with two runs at the same time.
func (p *Platform) OverlappingTasks() (tasks []string) {
	p.do(func() { tasks = append(tasks, p.overlapping...) })
	return tasks
}

// CompletedRuns returns the number of runs that ended as done.
func (p *Platform) CompletedRuns() (n int) {
	p.do(func() {
		for _, w := range p.workers {
			n += w.doneRuns
		}
	})
	return n
}

// configure writes the configuration and all worker entries to the store.
func (p *Platform) configure() {
	routes := ""
	for n := range p.extraQueues {
		routes += `{"name":"x` + strconv.Itoa(n) + `","host":"` + Host + `","path-prefix":"` + ExtraQueuePrefix(n) + `","kind":"non_idempotent",` +
			`"timeout-ms":3000,"target-latency-ms":600,"priority":1,"service":"` + Pool + `","max-attempts":4,"stretch":1.6},`
	}
	config := `{"version":` + strconv.Itoa(p.configVersion) + `,"routes":[` + routes + `{"name":"q","host":"` + Host + `","path-prefix":"` + Prefix + `","kind":"non_idempotent",` +
		`"timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"` + Pool + `","max-attempts":4,"stretch":1.6}],` +
		`"services":[{"name":"` + Pool + `","preconditions":true},{"name":"` + Standby + `","standby":true}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":262144}}`
	p.store.set(rowKey{"op", "", "config"}, []byte(config))
	for _, w := range p.workers {
		p.register(w)
	}
}

// register writes the entry of a worker to the store.
func (p *Platform) register(w *worker) {
	p.store.set(rowKey{"servers", "", w.id}, []byte(`{"service":"`+Pool+`","addr":"`+w.addr+`","zone":"z","version":"v1","slots":8,`+
		`"state":"ready","born":`+strconv.FormatInt(w.born, 10)+`,"machine":"`+w.machine+`","labels":["a","r1"],`+
		`"capacity":{"cpu":`+strconv.Itoa(workerMillicores)+`,"mem-mb":32768,"gpu":0}}`))
}

// workerMillicores is the CPU capacity of a worker.
const workerMillicores = 16000

// clock returns the time of the platform's clock in ms.
func (p *Platform) clock() int64 {
	return int64(float64(time.Since(p.startTime).Milliseconds())*p.opt.ClockRate) + 1
}
