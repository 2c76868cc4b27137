package reserver

import "time"

// Reserver is the authority over the workers of one failure domain; it is not safe for concurrent use.
type Reserver struct{ cfg Config }

// New returns a reserver in the standby role.
func New(cfg Config) *Reserver { return &Reserver{cfg: cfg.withDefaults()} }

// Handle applies one event; times must not go back.
func (r *Reserver) Handle(now time.Time, ev Event) {}

// Drain returns the batches to send and the reports since the last call.
func (r *Reserver) Drain(now time.Time) ([]Send, []Report) { return nil, nil }

// Next returns the time at which the next Tick is due.
func (r *Reserver) Next(now time.Time) time.Time { return now.Add(r.cfg.Poll) }

// Status returns a copy of the authority.
func (r *Reserver) Status(now time.Time) Status { return Status{Role: RoleStandby} }
