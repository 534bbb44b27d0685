package settings

import (
	"time"

	"github.com/carobwharf/carobwharf/configcheck"
	"github.com/carobwharf/carobwharf/structs"
)

// Keys of each kind of object, in the order in which FormatObjects writes them.
var (
	poolFields = []field[structs.Pool]{
		boolField("spare", func(p *structs.Pool) *bool { return &p.Spare }),
		intField("min", func(p *structs.Pool) *int { return &p.Min }, 0, configcheck.MaxVMs),
		intField("target", func(p *structs.Pool) *int { return &p.Target }, 0, configcheck.MaxVMs).markRequired(),
		intField("max", func(p *structs.Pool) *int { return &p.Max }, 0, configcheck.MaxVMs),
		enumField("spread", func(p *structs.Pool) *structs.Domain { return &p.Spread },
			structs.DomainRack, structs.DomainDataCentre),
	}
	serviceFields = []field[structs.Service]{
		nameField("pool", func(s *structs.Service) *string { return &s.Pool }).markRequired(),
		enumField("class", func(s *structs.Service) *structs.Class { return &s.Class },
			structs.ClassUrgent, structs.ClassStandard, structs.ClassBatch),
		floatField("share", func(s *structs.Service) *float64 { return &s.Share }, 0, 1),
		nameField("team", func(s *structs.Service) *string { return &s.Team }),
		namesField("idempotent", func(s *structs.Service) *[]string { return &s.Idempotent }),
		namesField("once", func(s *structs.Service) *[]string { return &s.Once }),
		durationField("timeout", func(s *structs.Service) *time.Duration { return &s.Timeout },
			configcheck.MinTimeout, configcheck.MaxTimeout).markRequired(),
		intField("queue", func(s *structs.Service) *int { return &s.Queue }, 1, configcheck.MaxQueue),
		sizeField("max_body", func(s *structs.Service) *int { return &s.MaxBody }, 1, configcheck.MaxBodyBytes),
		floatField("retry_ratio", func(s *structs.Service) *float64 { return &s.RetryRatio }, 0, configcheck.MaxRetryRatio),
		durationField("retention", func(s *structs.Service) *time.Duration { return &s.Retention },
			configcheck.MinRetention, configcheck.MaxRetention),
		boolField("trust_refusal", func(s *structs.Service) *bool { return &s.TrustRefusal }),
		enumField("legacy", func(s *structs.Service) *structs.Legacy { return &s.Legacy },
			structs.LegacyNone, structs.LegacyClose, structs.LegacyChunked, structs.LegacyStatus200),
	}
	budgetFields = []field[structs.Budget]{
		nameField("pool", func(b *structs.Budget) *string { return &b.Pool }).markRequired(),
		intField("max_unavailable", func(b *structs.Budget) *int { return &b.MaxUnavailable }, 1, configcheck.MaxVMs).markRequired(),
		intField("min_available", func(b *structs.Budget) *int { return &b.MinAvailable }, 0, configcheck.MaxVMs),
		enumField("survive", func(b *structs.Budget) *structs.Domain { return &b.Survive },
			structs.DomainNone, structs.DomainRack, structs.DomainDataCentre),
	}
	stopPlanFields = []field[structs.StopPlan]{
		nameField("pool", func(p *structs.StopPlan) *string { return &p.Pool }).markRequired(),
		enumField("order", func(p *structs.StopPlan) *structs.Domain { return &p.Order },
			structs.DomainRack, structs.DomainDataCentre),
		intField("width", func(p *structs.StopPlan) *int { return &p.Width }, 1, configcheck.MaxVMs).markRequired(),
		durationField("drain_timeout", func(p *structs.StopPlan) *time.Duration { return &p.DrainTimeout },
			configcheck.MinTimeout, configcheck.MaxStopPlanTimeout),
		durationField("reboot_timeout", func(p *structs.StopPlan) *time.Duration { return &p.RebootTimeout },
			configcheck.MinTimeout, configcheck.MaxStopPlanTimeout),
		durationField("every", func(p *structs.StopPlan) *time.Duration { return &p.Every },
			configcheck.MinStopPlanInterval, configcheck.MaxStopPlanInterval).markRequired(),
		nameField("after", func(p *structs.StopPlan) *string { return &p.After }),
	}
	teamFields = []field[structs.Team]{
		intField("slots", func(t *structs.Team) *int { return &t.Slots }, 0, configcheck.MaxQuota),
		intField("jobs", func(t *structs.Team) *int { return &t.Jobs }, 0, configcheck.MaxQuota),
		floatField("weight", func(t *structs.Team) *float64 { return &t.Weight }, 0.001, configcheck.MaxWeight),
	}
)

// The functions below return an object of each kind with the default values of its
// optional keys.

func defaultPool(name string) structs.Pool {
	return structs.Pool{Name: name, Spread: structs.DomainRack}
}

func defaultService(name string) structs.Service {
	return structs.Service{
		Name: name, Class: structs.ClassStandard, Queue: 256, MaxBody: 1 << 20,
		RetryRatio: configcheck.MaxRetryRatio, Retention: 24 * time.Hour, Legacy: structs.LegacyNone,
	}
}

func defaultBudget(name string) structs.Budget {
	return structs.Budget{Name: name, Survive: structs.DomainNone}
}

func defaultStopPlan(name string) structs.StopPlan {
	return structs.StopPlan{
		Name: name, Order: structs.DomainRack, DrainTimeout: 2 * time.Minute, RebootTimeout: 10 * time.Minute,
	}
}

func defaultTeam(name string) structs.Team { return structs.Team{Name: name, Weight: 1} }
