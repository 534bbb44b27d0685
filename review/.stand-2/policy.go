package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Timing of the placement policy.
const (
	decideTime = 20 * time.Millisecond
	eachTime   = 2 * time.Millisecond
	ticketTime = 3 * time.Second
)

// policy is the service at "advice" in the settings.
type policy struct {
	site *site
	mu   sync.Mutex // one call at a time
	last int
}

func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.URL.Path != "/advise" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	good := [][]string{}
	p.site.mu.Lock()
	allowed := p.site.machines[p.site.allowedOn]
	for _, id := range body.Workers {
		if allowed != nil && allowed.worker != nil && allowed.worker.id == id {
			p.last++
			good = append(good, []string{id, fmt.Sprintf("t-%06x", p.last)})
		}
	}
	p.site.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"good": good, "valid-ms": ticketTime.Milliseconds()})
}
