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

// DefaultAnnouncementTTL is how long an announcement stands without a renewal.
const DefaultAnnouncementTTL = 15 * time.Second

// ErrNoUpstream means that the host has no upstream that could do this.
var ErrNoUpstream = errors.New("no upstream is announced")

// Phase is a stage in the life of the host's own upstream.
type Phase string

// The phases of an upstream.
const (
	PhaseAbsent   Phase = "absent"
	PhaseWarming  Phase = "warming"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
	PhaseLeft     Phase = "left"
)

// trigger is what moves an upstream between phases.
type trigger string

const (
	announceCold trigger = "announceCold"
	announceWarm trigger = "announceWarm"
	drain        trigger = "drain"
	leave        trigger = "leave"
	expire       trigger = "expire"
)

// Announcement is what an upstream says of itself.
type Announcement struct {
	ID mesh.ServiceID
	// Warming is true while the upstream starts cold.
	Warming bool
	// Slots and Connections are not negative.
	Slots, Connections int
}

// LocalUpstream is the life cycle of the host's own upstream. The fields are set before
// the first call.
type LocalUpstream struct {
	// Host, Place and Node are the same in every record.
	Host  mesh.HostID
	Place mesh.Place
	Node  netip.AddrPort
	// Incarnation rises each time the process starts.
	Incarnation uint64
	// AnnouncementTTL is how long an announcement stands without a renewal; zero
	// means DefaultAnnouncementTTL.
	AnnouncementTTL time.Duration

	// machine is nil until the first call.
	machine *stateless.StateMachine
	// record is what was last published; its stamp is zero before that.
	record Record
	// via is the relay that the host beats to; empty when there is none.
	via mesh.HostID
	// renewed is the time of the last announcement.
	renewed time.Time
}

// newLocalMachine returns the machine of an upstream's life cycle.
func newLocalMachine() *stateless.StateMachine {
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

// Phase returns the phase of the upstream.
func (l *LocalUpstream) Phase() Phase {
	if l.machine == nil {
		l.machine = newLocalMachine()
	}
	phase, _ := l.machine.MustState().(Phase)
	return phase
}

// fire moves the machine on; a trigger that the phase does not permit is
// ErrNoUpstream.
func (l *LocalUpstream) fire(move trigger) (err error) {
	phase := l.Phase()
	if ok, _ := l.machine.CanFire(move); !ok {
		return fmt.Errorf("%s while %s: %w", move, phase, ErrNoUpstream)
	}
	return l.machine.FireCtx(context.Background(), move)
}

// Announce takes in an announcement or its renewal. While the upstream drains,
// a renewal keeps it draining; an announcement of another service means that
// another upstream has taken its slot. The record is new when changed is true.
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
	move := announceWarm
	if announcement.Warming {
		move = announceCold
	}
	if err = l.fire(move); err != nil {
		return l.record, false, err
	}
	l.renewed = now
	record, changed = l.publish(next)
	return record, changed, nil
}

// Expire ends the upstream when its announcement was not renewed in time.
func (l *LocalUpstream) Expire(now time.Time) (record Record, changed bool) {
	deadline := l.ExpiresAt()
	if deadline.IsZero() || now.Before(deadline) {
		return l.record, false
	}
	return l.end(expire)
}

// ExpiresAt returns when the announcement expires; zero when none stands.
func (l *LocalUpstream) ExpiresAt() time.Time {
	if phase := l.Phase(); phase == PhaseAbsent || phase == PhaseLeft {
		return time.Time{}
	}
	live := l.AnnouncementTTL
	if live == 0 {
		live = DefaultAnnouncementTTL
	}
	return l.renewed.Add(live)
}

// Drain stops new work for the upstream. A caller that runs what is left
// without further renewals by the upstream keeps it by Renew.
func (l *LocalUpstream) Drain(now time.Time) (record Record, changed bool, err error) {
	if err = l.fire(drain); err != nil {
		return l.record, false, err
	}
	l.renewed = now
	record, changed = l.publish(l.record)
	return record, changed, nil
}

// Renew extends the standing announcement as it is.
func (l *LocalUpstream) Renew(now time.Time) (err error) {
	if l.ExpiresAt().IsZero() {
		return fmt.Errorf("renew while %s: %w", l.Phase(), ErrNoUpstream)
	}
	l.renewed = now
	return nil
}

// Leave ends the upstream. Leaving twice is no error.
func (l *LocalUpstream) Leave(time.Time) (record Record, changed bool, err error) {
	if l.Phase() == PhaseAbsent {
		return Record{}, false, fmt.Errorf("leave while %s: %w", PhaseAbsent, ErrNoUpstream)
	}
	record, changed = l.end(leave)
	return record, changed, nil
}

func (l *LocalUpstream) end(move trigger) (record Record, changed bool) {
	if err := l.fire(move); err != nil {
		return l.record, false
	}
	return l.publish(l.record)
}

// Record returns what was last published; ok is false before that.
func (l *LocalUpstream) Record() (record Record, ok bool) {
	return l.record, l.record.Stamp != mesh.Stamp{}
}

// JoinRelay publishes the record with a higher stamp and the relay that the host
// beats to now, so that the one that watched it before stops.
func (l *LocalUpstream) JoinRelay(via mesh.HostID) (record Record, changed bool) {
	l.via = via
	if l.ExpiresAt().IsZero() {
		return l.record, false
	}
	l.record.Relay = via
	l.record.Stamp.Sequence++
	return l.record, true
}

// Refute answers a record of this host that others hold and that stands over
// the host's own: it publishes the truth with a higher stamp. An earlier
// incarnation's live record is answered by Left when no upstream is announced.
func (l *LocalUpstream) Refute(seen Record) (record Record, changed bool) {
	own, published := l.Record()
	if seen.Host != l.Host || published && !Newer(seen, own) {
		return own, false
	}
	if !published && !seen.State.Live() {
		return own, false
	}
	if l.Incarnation < seen.Stamp.Incarnation {
		l.Incarnation = seen.Stamp.Incarnation
	}
	next := own
	if !published {
		next = seen
		next.Place, next.Node, next.Relay = l.Place, l.Node, l.via
	}
	next.State = l.state()
	sequence := max(own.Stamp.Sequence, 1)
	if seen.Stamp.Incarnation == l.Incarnation {
		sequence = max(sequence, seen.Stamp.Sequence+1)
	}
	next.Stamp = mesh.Stamp{Incarnation: l.Incarnation, Sequence: sequence}
	l.record = next
	return next, true
}

// state returns the record's state in the present phase.
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

// publish stamps the record when it differs from the last one published.
func (l *LocalUpstream) publish(next Record) (record Record, changed bool) {
	next.State, next.Relay = l.state(), l.via
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
