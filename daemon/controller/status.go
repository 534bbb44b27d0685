package controller

import (
	"context"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/structs"
)

// Status returns the configuration, members and pools as this controller sees
// them.
func (o operatorAPI) Status(context.Context) (operator.StatusReply, error) {
	reply := operator.StatusReply{Process: o.c.opts.Settings.ID, DataCentre: o.c.opts.Settings.DataCentre}
	if o.c.opts.Members != nil {
		if view := o.c.opts.Members(); view != nil {
			reply.Members = view.Live
		}
	}
	config := o.c.config.Current()
	if config == nil {
		return reply, nil
	}
	reply.Generation, reply.Hash = config.Generation, config.Hash
	var owners []structs.Owner
	if o.c.opts.Fleet != nil {
		if view := o.c.opts.Fleet(); view != nil {
			owners = view.Owners
		}
	}
	reply.Pools = poolStatus(config.Set.Pools, owners)
	return reply, nil
}

// poolStatus returns the status of each pool with its VMs counted by state.
func poolStatus(pools []structs.Pool, owners []structs.Owner) []operator.PoolStatus {
	out := make([]operator.PoolStatus, len(pools))
	byName := make(map[string]*operator.PoolStatus, len(pools))
	for i, p := range pools {
		out[i] = operator.PoolStatus{Name: p.Name, Spare: p.Spare, Target: p.Target}
		byName[p.Name] = &out[i]
	}
	for _, owner := range owners {
		s := byName[owner.Pool]
		if s == nil {
			continue
		}
		switch owner.State {
		case structs.OwnerActive:
			s.Active++
		case structs.OwnerDraining:
			s.Draining++
		case structs.OwnerRebooting:
			s.Rebooting++
		}
	}
	return out
}
