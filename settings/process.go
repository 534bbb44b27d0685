// Package settings reads INI files: the settings of a process and the object
// sets that operators submit.
package settings

import "time"

// Process holds the settings of one gateway or controller process.
type Process struct {
	ID          string // unique name; used in member rows and logs
	DataCentre  string
	PeerListen  string   // IP:port for the project's own processes (drpc)
	AdminListen string   // IP:port of health, metrics and dump; loopback unless set otherwise
	Seeds       []string // IP:port of other processes' PeerListen
	PeerLoss    float64  // fraction of outgoing heartbeats dropped, 0 to 1; for experiments

	Log        Log
	Platform   Platform
	Membership Membership
	View       View
	Gateway    Gateway
	Controller Controller
}

// Log configures the structured log.
type Log struct {
	Level  string
	Format string
}

// Platform says how the platform's service is reached.
type Platform struct {
	Addr           string        // IP:port of the table and object service
	Timeout        time.Duration // of one call
	MaxConnections int
	MaxConnAge     time.Duration // older connections are replaced
}

// Membership configures heartbeats between the project's own processes.
type Membership struct {
	Interval     time.Duration // between heartbeat rounds
	Fanout       int           // processes contacted in one round
	SuspectAfter time.Duration // without news
	RemoveAfter  time.Duration // after suspicion
	RowLifetime  time.Duration // a member row unchanged for this long is dead
}

// View configures how often the platform is read.
type View struct {
	ConfigPoll time.Duration // mean interval, jittered by half
	FleetPoll  time.Duration // VM list and ownership rows
}

// Gateway configures the gateway role.
type Gateway struct {
	Listen          string // IP:port for callers
	MaxConnections  int    // caller connections
	MaxBody         int    // bytes
	ReadTimeout     time.Duration
	DefaultDeadline time.Duration // when the caller gives none and the service has no timeout
	EventRing       int           // depth of the dispatcher's ring
	EndpointWorkers int           // concurrent calls to endpoints
	JournalWorkers  int           // concurrent transactions
	JournalBatch    int           // rows in one transaction
	JournalLinger   time.Duration // wait for more rows
	InlineAnswer    int           // bytes; larger answers go to the object store
	ConnIdle        time.Duration // idle endpoint connections are closed
	ConnAge         time.Duration // older endpoint connections are replaced
	LeaveHold       time.Duration // a leaving endpoint is not used again before this
	DrainGrace      time.Duration // a stopping gateway still takes requests for this long, until the load balancer sees that it is not ready
	DrainTimeout    time.Duration // bound of a graceful stop after that
}

// Controller configures the controller role.
type Controller struct {
	OperatorListen string // IP:port of the operators' API; loopback unless set otherwise
	OperatorKey    string // shared key that operators' calls carry
	LeaseDuration  time.Duration
	Reconcile      time.Duration // interval of the pool reconciliation
	DrainTimeout   time.Duration
}

// DefaultProcess returns the settings that a file does not have to give.
func DefaultProcess() Process {
	return Process{
		AdminListen: "127.0.0.1:0",
		PeerListen:  "127.0.0.1:0",
		Log:         Log{Level: "info", Format: "text"},
		Platform: Platform{
			Timeout:        2 * time.Second,
			MaxConnections: 32,
			MaxConnAge:     time.Minute,
		},
		Membership: Membership{
			Interval:     500 * time.Millisecond,
			Fanout:       3,
			SuspectAfter: 3 * time.Second,
			RemoveAfter:  5 * time.Second,
			RowLifetime:  30 * time.Second,
		},
		View: View{
			ConfigPoll: time.Second,
			FleetPoll:  time.Second,
		},
		Gateway: Gateway{
			Listen:          "127.0.0.1:0",
			MaxConnections:  4096,
			MaxBody:         4 << 20,
			ReadTimeout:     10 * time.Second,
			DefaultDeadline: 5 * time.Second,
			EventRing:       8192,
			EndpointWorkers: 512,
			JournalWorkers:  8,
			JournalBatch:    64,
			JournalLinger:   2 * time.Millisecond,
			InlineAnswer:    32 << 10,
			ConnIdle:        30 * time.Second,
			ConnAge:         5 * time.Minute,
			LeaveHold:       30 * time.Second,
			DrainGrace:      2 * time.Second,
			DrainTimeout:    20 * time.Second,
		},
		Controller: Controller{
			OperatorListen: "127.0.0.1:0",
			LeaseDuration:  10 * time.Second,
			Reconcile:      time.Second,
			DrainTimeout:   20 * time.Second,
		},
	}
}
