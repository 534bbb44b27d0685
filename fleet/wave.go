package fleet

import (
	"slices"
	"time"

	"github.com/carobwharf/carobwharf/workload"
)

// goneAfterAbsences is the number of lists in a row that must lack a machine before it
// counts as gone. A list of several pages is not a snapshot, so a single one may
// lack a machine that stays.
const goneAfterAbsences = 2

// wave is the state of an upkeep wave.
type wave struct {
	WaveRequest
	upkeepStarted map[string]bool // machines whose upkeep has started
	firstList     int             // number of the first list that was requested after the wave was known
	absences      map[string]int  // by machine: number of latest lists in a row, from firstList on, that lack it
	refusals      map[string]refusal
	reported      int  // status in the store; 0: none, 1: running, 2: completed
	statusPending bool // a status is being stored
}

// refusal says how often the machine service has refused the upkeep of a machine, and
// when it may be planned again.
type refusal struct {
	count   int
	retryAt time.Time
}

// recordRefusal records that the machine service refused an upkeep. That does not mean
// that none is due: the service may not know the wave yet.
func (w *wave) recordRefusal(now time.Time, id string) {
	r := w.refusals[id]
	r.retryAt = now.Add(min(maxRefusedRetry, minRefusedRetry<<min(r.count, 5)))
	r.count++
	w.refusals[id] = r
}

func (pl *Planner) wave(number int) *wave {
	w, ok := pl.waves[number]
	if !ok {
		w = &wave{upkeepStarted: map[string]bool{}, absences: map[string]int{}, refusals: map[string]refusal{}}
		pl.waves[number] = w
	}
	return w
}

// applyWaves records the operator's waves. A list that was requested before a wave was
// known may lack machines that were added since, so a new one is requested at once.
func (pl *Planner) applyWaves(requests map[int]WaveRequest) {
	for number, request := range requests {
		w := pl.wave(number)
		if w.Number == 0 {
			w.firstList = pl.listsRequested + 1
			pl.nextListAt = pl.now
		}
		w.WaveRequest = request
	}
}

// recordAbsences counts for each open wave which of its machines the latest list lacks. A
// machine whose entry in the list is unreadable is there.
func (pl *Planner) recordAbsences(unreadable []string) {
	for _, w := range pl.waves {
		if !w.open() || pl.listsRequested < w.firstList {
			continue
		}
		for _, id := range w.Machines {
			if m := pl.machines[id]; m != nil && m.absences == 0 || slices.Contains(unreadable, id) {
				delete(w.absences, id)
				continue
			}
			w.absences[id]++
			if w.absences[id] == goneAfterAbsences && !w.upkeepStarted[id] {
				pl.emit(Decision{What: "machine-gone", Machine: id, Wave: w.Number, Why: "lists that were requested after the wave was known lack it"})
			}
		}
	}
}

// open reports whether the wave is known and not completed.
func (w *wave) open() bool { return w.Number > 0 && w.reported < 2 }

func (pl *Planner) waveOpen() bool {
	for _, w := range pl.waves {
		if w.open() {
			return true
		}
	}
	return false
}

func (pl *Planner) applyStatusStored(e WaveStatusStored) {
	w := pl.wave(e.Wave)
	w.statusPending = false
	if e.OK {
		w.reported = 1
		if e.Done {
			w.reported = 2
		}
	}
}

// UpkeepStarted returns for each wave the machines whose upkeep was started. The caller
// stores them in the fleet's row.
func (pl *Planner) UpkeepStarted() map[int][]string {
	started := map[int][]string{}
	for number, w := range pl.waves {
		for id := range w.upkeepStarted {
			started[number] = append(started[number], id)
		}
		slices.Sort(started[number])
	}
	return started
}

// countInUpkeep returns the number of machines of a wave that are in upkeep or,
// because of an order of this or the former holder, may be.
func (pl *Planner) countInUpkeep(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		if pl.formerOrdered[id] && !w.upkeepStarted[id] {
			n++
			continue
		}
		m := pl.machines[id]
		if m == nil {
			continue
		}
		if m.State == workload.MachineUpkeep || m.plan != nil && m.plan.wave == w.Number && (m.plan.orderPending || !m.plan.doneAt.IsZero()) {
			n++
		}
	}
	return n
}

// reportWaves reports to the operator that waves are running or completed.
func (pl *Planner) reportWaves() {
	for number, w := range pl.waves {
		if !w.open() || w.statusPending {
			continue
		}
		done := pl.countUpkeepPending(w) == 0
		if done || w.reported == 0 {
			w.statusPending = true
			pl.emit(StoreWaveStatus{Wave: number, Done: done})
		}
	}
}

// countUpkeepPending returns the number of machines of a wave whose upkeep has
// not started and that are not gone.
func (pl *Planner) countUpkeepPending(w *wave) int {
	n := 0
	for _, id := range w.Machines {
		if !w.upkeepStarted[id] && w.absences[id] < goneAfterAbsences {
			n++
		}
	}
	return n
}
