package member

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/qmuntal/stateless"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// DefaultAnnouncementTTL is how long an announcement is valid without a renewal.
const DefaultAnnouncementTTL = 15 * time.Second

// ErrNoUpstream is returned when no upstream is announced that the operation could
// apply to.
var ErrNoUpstream = errors.New("no upstream is announced")

// Phase is a phase in the lifecycle of the upstream on the local host.
type Phase string

// The phases of an upstream.
const (
	PhaseAbsent   Phase = "absent"
	PhaseWarming  Phase = "warming"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseLeft     Phase = "left"
)

// trigger is an event that moves an upstream between phases.
type trigger string

const (
	announceCold trigger = "announceCold"
	announceWarm trigger = "announceWarm"
	drain        trigger = "drain"
	leave        trigger = "leave"
	expire       trigger = "expire"
)

// Announcement is the state that an upstream announces to its node.
type Announcement struct {
	ID mesh.ServiceID
	// Warming is true while the upstream is warming up after a cold start.
	Warming bool
	// Slots and Connections are not negative.
	Slots, Connections int
}

// LocalUpstream manages the lifecycle of the upstream on the local host. Its
// exported fields must be set before the first call.
type LocalUpstream struct {
	// Host, Place and Node are the same in every record.
	Host  mesh.HostID
	Place mesh.Place
	Node  netip.AddrPort
	// Incarnation rises with each start of the process.
	Incarnation uint64
	// AnnouncementTTL is how long an announcement is valid without a renewal; zero means
	// DefaultAnnouncementTTL.
	AnnouncementTTL time.Duration

	// machine is nil until the first call.
	machine *stateless.StateMachine
	// record is the last published record; its stamp is zero before the first.
	record Record
	// relay is the relay to which the host sends heartbeats; empty when there is none.
	relay mesh.HostID
	// lastRenewal is the time of the last announcement or renewal.
	lastRenewal time.Time
}

// newUpstreamMachine returns the state machine of the lifecycle.
func newUpstreamMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(PhaseAbsent)
	machine.Configure(PhaseAbsent).
		Permit(announceCold, PhaseWarming).
		Permit(announceWarm, PhaseReady)
	machine.Configure(PhaseWarming).
		PermitReentry(announceCold).
		Permit(announceWarm, PhaseReady).
		Permit(drain, PhaseDraining).
		Permit(leave, PhaseLeft).
		Permit(expire, PhaseLeft)
	machine.Configure(PhaseReady).
		PermitReentry(announceWarm).
		Permit(announceCold, PhaseWarming).
		Permit(drain, PhaseDraining).
		Permit(leave, PhaseLeft).
		Permit(expire, PhaseLeft)
	machine.Configure(PhaseDraining).
		Ignore(announceCold).
		Ignore(announceWarm).
		Ignore(drain).
		Permit(leave, PhaseLeft).
		Permit(expire, PhaseLeft)
	machine.Configure(PhaseLeft).
		Permit(announceCold, PhaseWarming).
		Permit(announceWarm, PhaseReady).
		Ignore(leave)
	return machine
}

// Phase returns the current phase of the upstream.
func (l *LocalUpstream) Phase() Phase {
	if l.machine == nil {
		l.machine = newUpstreamMachine()
	}
	phase, _ := l.machine.MustState().(Phase)
	return phase
}

// fire applies the event to the state machine. The error is ErrNoUpstream when the
// current phase does not permit the event.
func (l *LocalUpstream) fire(event trigger) (err error) {
	phase := l.Phase()
	if ok, _ := l.machine.CanFire(event); !ok {
		return fmt.Errorf("%s while %s: %w", event, phase, ErrNoUpstream)
	}
	return l.machine.FireCtx(context.Background(), event)
}

// Announce processes an announcement or its renewal. A renewal does not end
// draining. An announcement of another service while the upstream drains means that
// another upstream has replaced it on the host. changed is true when there is a new
// record to publish.
func (l *LocalUpstream) Announce(now time.Time, announcement Announcement) (record Record, changed bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("announce %s: %w", announcement.ID, err)
		}
	}()
	next := Record{Host: l.Host, ID: announcement.ID, Place: l.Place, Node: l.Node, Slots: announcement.Slots, Connections: announcement.Connections}
	next.Stamp = mesh.Stamp{Incarnation: l.Incarnation, Sequence: 1}
	if err = next.Validate(); err != nil {
		return l.record, false, err
	}
	if l.Phase() == PhaseDraining && announcement.ID != l.record.ID {
		if err = l.fire(leave); err != nil {
			return l.record, false, err
		}
	}
	event := announceWarm
	if announcement.Warming {
		event = announceCold
	}
	if err = l.fire(event); err != nil {
		return l.record, false, err
	}
	l.lastRenewal = now
	record, changed = l.publish(next)
	return record, changed, nil
}

// Expire ends the upstream when its announcement was not renewed in time.
func (l *LocalUpstream) Expire(now time.Time) (record Record, changed bool) {
	expiresAt := l.ExpiresAt()
	if expiresAt.IsZero() || now.Before(expiresAt) {
		return l.record, false
	}
	return l.end(expire)
}

// ExpiresAt returns when the announcement expires, zero when there is none.
func (l *LocalUpstream) ExpiresAt() time.Time {
	if phase := l.Phase(); phase == PhaseAbsent || phase == PhaseLeft {
		return time.Time{}
	}
	ttl := l.AnnouncementTTL
	if ttl == 0 {
		ttl = DefaultAnnouncementTTL
	}
	return l.lastRenewal.Add(ttl)
}

// Drain stops new requests to the upstream. The announcement still expires if it is
// not renewed: a caller that waits for running requests of an upstream which no
// longer renews has to call Renew.
func (l *LocalUpstream) Drain(now time.Time) (record Record, changed bool, err error) {
	if err = l.fire(drain); err != nil {
		return l.record, false, err
	}
	l.lastRenewal = now
	record, changed = l.publish(l.record)
	return record, changed, nil
}

// Renew extends the current announcement unchanged.
func (l *LocalUpstream) Renew(now time.Time) (err error) {
	if l.ExpiresAt().IsZero() {
		return fmt.Errorf("renew while %s: %w", l.Phase(), ErrNoUpstream)
	}
	l.lastRenewal = now
	return nil
}

// Leave ends the upstream. Leaving twice is not an error.
func (l *LocalUpstream) Leave(time.Time) (record Record, changed bool, err error) {
	if l.Phase() == PhaseAbsent {
		return Record{}, false, fmt.Errorf("leave while %s: %w", PhaseAbsent, ErrNoUpstream)
	}
	record, changed = l.end(leave)
	return record, changed, nil
}

func (l *LocalUpstream) end(event trigger) (record Record, changed bool) {
	if err := l.fire(event); err != nil {
		return l.record, false
	}
	return l.publish(l.record)
}

// Record returns the last published record; ok is false when there is none.
func (l *LocalUpstream) Record() (record Record, ok bool) {
	return l.record, l.record.Stamp != mesh.Stamp{}
}

// JoinRelay publishes the record with a higher stamp and the relay to which the host
// now sends heartbeats, so that the previous relay stops watching the host.
func (l *LocalUpstream) JoinRelay(relay mesh.HostID) (record Record, changed bool) {
	l.relay = relay
	if l.ExpiresAt().IsZero() {
		return l.record, false
	}
	l.record.Relay = relay
	l.record.Stamp.Sequence++
	return l.record, true
}

// Refute responds to a record of this host that others hold and that supersedes the
// published one: it publishes the actual state with a higher stamp. If no upstream
// is announced, a live record of an earlier incarnation is refuted with state Left.
func (l *LocalUpstream) Refute(observed Record) (record Record, changed bool) {
	own, published := l.Record()
	if observed.Host != l.Host || published && !Newer(observed, own) {
		return own, false
	}
	if !published && !observed.State.Live() {
		return own, false
	}
	if l.Incarnation < observed.Stamp.Incarnation {
		l.Incarnation = observed.Stamp.Incarnation
	}
	next := own
	if !published {
		next = observed
		next.Place, next.Node, next.Relay = l.Place, l.Node, l.relay
	}
	next.State = l.state()
	sequence := max(own.Stamp.Sequence, 1)
	if observed.Stamp.Incarnation == l.Incarnation {
		sequence = max(sequence, observed.Stamp.Sequence+1)
	}
	next.Stamp = mesh.Stamp{Incarnation: l.Incarnation, Sequence: sequence}
	l.record = next
	return next, true
}

// state returns the state of the record for the current phase.
func (l *LocalUpstream) state() State {
	switch l.Phase() {
	case PhaseWarming:
		return Warming
	case PhaseReady:
		return Ready
	case PhaseDraining:
		return Draining
	default:
		return Left
	}
}

// publish assigns a new stamp to the record if it differs from the last published
// one.
func (l *LocalUpstream) publish(next Record) (record Record, changed bool) {
	next.State, next.Relay = l.state(), l.relay
	next.Stamp = l.record.Stamp
	if next == l.record {
		return next, false
	}
	if next.Stamp.Incarnation < l.Incarnation {
		next.Stamp = mesh.Stamp{Incarnation: l.Incarnation}
	}
	next.Stamp.Sequence++
	l.record = next
	return next, true
}
