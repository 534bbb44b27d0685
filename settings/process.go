// Package settings reads INI files: the settings of a process and the object
// sets that operators submit.
package settings

import "time"

// Process holds the settings of one gateway or controller process.
type Process struct {
	ID                string // unique name; used in member rows and logs
	DataCentre        string
	PeerListen        string   // IP:port for calls of other Carobwharf processes (drpc)
	AdminListen       string   // IP:port of health, metrics and dump; loopback by default
	Seeds             []string // PeerListen addresses of other processes, to contact at the start
	HeartbeatLossRate float64  // fraction of outgoing heartbeats to drop, 0 to 1; for experiments

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

// Platform configures the connection to the platform.
type Platform struct {
	Addr           string        // IP:port of the table and object service
	Timeout        time.Duration // time limit of one call
	MaxConnections int
	MaxConnAge     time.Duration // older connections are replaced
}

// Membership configures the heartbeats between Carobwharf processes and the rows
// in which they announce themselves to each other.
type Membership struct {
	Interval     time.Duration // between heartbeat rounds
	Fanout       int           // number of processes contacted in one round
	SuspectAfter time.Duration // a process not heard of for this long is suspected
	RemoveAfter  time.Duration // a process suspected for this long is declared dead
	// A member row that has not changed for RowLifetime counts as expired. It is
	// deleted after twice this time.
	RowLifetime time.Duration
}

// View configures how often the state on the platform is read.
type View struct {
	ConfigPoll time.Duration // mean interval between reads of the configuration; each is 0.5 to 1.5 times this
	FleetPoll  time.Duration // interval between reads of the VM list and the ownership rows
}

// Gateway configures a gateway process.
type Gateway struct {
	Listen          string        // IP:port for callers
	MaxConnections  int           // maximum number of caller connections
	MaxBody         int           // maximum size in bytes of a request body and of an endpoint's answer
	ReadTimeout     time.Duration // time limit for reading a request
	DefaultDeadline time.Duration // used if neither the caller nor the service sets one
	EventRing       int           // capacity of the rings of the dispatcher and the journal
	EndpointWorkers int           // maximum number of concurrent calls to endpoints
	JournalWorkers  int           // maximum number of concurrent journal transactions
	JournalBatch    int           // maximum number of rows in one journal transaction
	JournalLinger   time.Duration // time that a row waits for others to share its transaction
	MaxInlineAnswer int           // maximum size in bytes of an answer stored in its row; larger ones go to the object store
	ConnIdle        time.Duration // endpoint connections idle for this long are closed
	ConnAge         time.Duration // older endpoint connections are replaced
	LeaveHold       time.Duration // an endpoint that appears to be shutting down gets no new requests for this long, unless its VM returns earlier
	DrainGrace      time.Duration // a stopping gateway accepts requests for this long, so that the load balancer sees that it is not ready
	DrainTimeout    time.Duration // requests left this long after DrainGrace are aborted
}

// Controller configures a controller process.
type Controller struct {
	OperatorListen string // IP:port of the operators' API; loopback by default
	OperatorKey    string // shared key that authorizes calls of operators
	LeaseDuration  time.Duration
	Reconcile      time.Duration // minimum interval between the row reads by which pools are reconciled
	DrainTimeout   time.Duration // time limit of a VM's drain if its stop plan has none, and of a graceful stop of the process
}

// DefaultProcess returns the default settings of a process.
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
			MaxInlineAnswer: 32 << 10,
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
