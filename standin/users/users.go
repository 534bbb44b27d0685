// Package users is a small stand-in of the users' platform for tests: its
// store, workers and machine service, over HTTP on loopback addresses. One
// goroutine owns all state; the HTTP goroutines post functions to it.
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
	Workers  int           // of the one pool, one on each machine
	TaskTime time.Duration // that a run takes
	// Through returns the address that a worker registers in place of its own,
	// so that a proxy can stand before it; nil: its own.
	Through func(addr string) (string, error)
	// ClockRate is the rate of the workers' clocks; 0 means 1.
	ClockRate float64
}

// Names of the stand-in's objects.
const (
	Pool    = "pool-1"
	Standby = "pool-0"
	Host    = "jobs.example"
	Prefix  = "/queue/"
)

// Platform is a running stand-in.
type Platform struct {
	opt     Options
	calls   chan func()
	ended   chan struct{}
	servers []*fasthttp.Server
	began   time.Time

	StoreAddr string
	FleetAddr string

	store   store
	workers map[string]*worker
	twice   []string // tasks that ran at two workers at the same time
	down    bool     // the store refuses everything
	faults  Faults
	random  *rand.Rand
	events  []Event
	version int // of the configuration
	extra   int // queues beside the first
}

// Start runs a stand-in until Stop.
func Start(o Options) (*Platform, error) {
	p := &Platform{
		opt: o, calls: make(chan func()), ended: make(chan struct{}), began: time.Now(),
		store: newStore(), workers: map[string]*worker{}, random: rand.New(rand.NewPCG(1, 2)), version: 1,
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
		case <-p.ended:
			return
		}
	}
}

// do runs f in the goroutine that owns the state.
func (p *Platform) do(f func()) {
	done := make(chan struct{})
	select {
	case p.calls <- func() { f(); close(done) }:
		<-done
	case <-p.ended:
	}
}

func (p *Platform) serve(h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in of the users' platform: %w", err)
	}
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Shutdown
	return l.Addr().String(), nil
}

// Stop ends the stand-in.
func (p *Platform) Stop() {
	close(p.ended)
	for _, s := range p.servers {
		_ = s.Shutdown()
	}
}

// SetDown lets the store refuse every call, or end that.
func (p *Platform) SetDown(down bool) { p.do(func() { p.down = down }) }

// Twice returns the tasks that ran at two workers at the same time.
func (p *Platform) Twice() (tasks []string) {
	p.do(func() { tasks = append(tasks, p.twice...) })
	return tasks
}

// Runs returns how many runs have ended as done.
func (p *Platform) Runs() (n int) {
	p.do(func() {
		for _, w := range p.workers {
			n += w.done
		}
	})
	return n
}

func (p *Platform) configure() {
	routes := ""
	for n := range p.extra {
		routes += `{"name":"x` + strconv.Itoa(n) + `","host":"` + Host + `","path-prefix":"` + ExtraPrefix(n) + `","kind":"non_idempotent",` +
			`"timeout-ms":3000,"target-latency-ms":600,"priority":1,"service":"` + Pool + `","max-attempts":4,"stretch":1.6},`
	}
	config := `{"version":` + strconv.Itoa(p.version) + `,"routes":[` + routes + `{"name":"q","host":"` + Host + `","path-prefix":"` + Prefix + `","kind":"non_idempotent",` +
		`"timeout-ms":3000,"target-latency-ms":600,"priority":0,"service":"` + Pool + `","max-attempts":4,"stretch":1.6}],` +
		`"services":[{"name":"` + Pool + `","preconditions":true},{"name":"` + Standby + `","standby":true}],` +
		`"limits":{"max-header-bytes":16384,"max-body-bytes":262144}}`
	p.store.set(address{"op", "", "config"}, []byte(config))
	for _, w := range p.workers {
		p.register(w)
	}
}

// register writes the worker's entry in the store.
func (p *Platform) register(w *worker) {
	p.store.set(address{"servers", "", w.id}, []byte(`{"service":"`+Pool+`","addr":"`+w.addr+`","zone":"z","version":"v1","slots":8,`+
		`"state":"ready","born":`+strconv.FormatInt(w.born, 10)+`,"machine":"`+w.machine+`","labels":["a","r1"],`+
		`"capacity":{"cpu":`+strconv.Itoa(workerCPU)+`,"mem-mb":32768,"gpu":0}}`))
}

// workerCPU is a worker's capacity in thousandths of a core.
const workerCPU = 16000

// clock returns the workers' clock in ms.
func (p *Platform) clock() int64 {
	return int64(float64(time.Since(p.began).Milliseconds())*p.opt.ClockRate) + 1
}
