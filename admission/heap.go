package admission

// This file implements a binary heap of team queues. container/heap is not used
// because it passes values as interfaces, which allocates on each push.

func (v *service) less(s *Scheduler, i, j int) bool {
	a, b := &s.queues[v.heap[i]], &s.queues[v.heap[j]]
	if a.nextTurn != b.nextTurn {
		return a.nextTurn < b.nextTurn
	}
	return a.team < b.team
}

func (v *service) swap(s *Scheduler, i, j int) {
	v.heap[i], v.heap[j] = v.heap[j], v.heap[i]
	s.queues[v.heap[i]].heapIndex = int32(i)
	s.queues[v.heap[j]].heapIndex = int32(j)
}

func (v *service) heapPush(s *Scheduler, id int32) {
	v.heap = append(v.heap, id)
	s.queues[id].heapIndex = int32(len(v.heap) - 1)
	v.up(s, len(v.heap)-1)
}

func (v *service) heapRemove(s *Scheduler, id int32) {
	i := int(s.queues[id].heapIndex)
	if i < 0 {
		return
	}
	last := len(v.heap) - 1
	v.swap(s, i, last)
	v.heap = v.heap[:last]
	s.queues[id].heapIndex = -1
	if i < last {
		v.fix(s, i)
	}
}

func (v *service) fix(s *Scheduler, i int) {
	v.down(s, i)
	v.up(s, i)
}

func (v *service) up(s *Scheduler, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !v.less(s, i, parent) {
			return
		}
		v.swap(s, i, parent)
		i = parent
	}
}

func (v *service) down(s *Scheduler, i int) {
	for {
		child := 2*i + 1
		if child >= len(v.heap) {
			return
		}
		if child+1 < len(v.heap) && v.less(s, child+1, child) {
			child++
		}
		if !v.less(s, child, i) {
			return
		}
		v.swap(s, i, child)
		i = child
	}
}
