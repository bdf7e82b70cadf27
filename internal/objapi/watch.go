package objapi

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// event is the JSON form of an Event.
type event struct {
	object
	Deleted bool `json:"deleted"`
}

// watch answers with the events after a revision, or with none after the wait.
func (s *Server) watch(ctx context.Context, rc *app.RequestContext) (answer bool) {
	prefix := rc.Query("prefix")
	from, fromErr := decodeVersion(rc.Query("from"))
	wait, waitErr := decodeWait(rc.Query("wait"))
	if err := errors.Join(checkPrefix(prefix), fromErr, waitErr); err != nil {
		refuse(rc, err)
		return true
	}
	_, freezes, _ := s.faults.get()
	found, next, err := s.await(ctx, prefix, from, wait)
	if ctx.Err() != nil {
		return false
	}
	if s.frozen(freezes) {
		<-ctx.Done()
		return false
	}
	if !s.checkDown(rc) {
		return false
	}
	if rc.Response.StatusCode() != consts.StatusOK {
		return true
	}
	if errors.Is(err, errGone) {
		rc.JSON(consts.StatusGone, failure{Error: err.Error(), Revision: next})
		return true
	}
	found = s.faults.disturb(found, s.Seed)
	events := make([]event, len(found))
	for i, e := range found {
		events[i] = event{object: object(e.Object), Deleted: e.Deleted}
	}
	rc.JSON(consts.StatusOK, struct {
		Events []event `json:"events"`
		Next   uint64  `json:"next"`
	}{events, next})
	return true
}

// frozen reports whether watches are frozen or were since the count freezes
// was read.
func (s *Server) frozen(freezes uint64) bool {
	faults, count, _ := s.faults.get()
	return faults.FreezeWatches || count != freezes
}

// await waits until there are events, the wait is over, the context ends or
// the server goes down.
func (s *Server) await(
	ctx context.Context, prefix string, from uint64, wait time.Duration,
) (events []Event, next uint64, err error) {
	w := s.table.watch(prefix)
	defer s.table.unwatch(w)
	end := time.NewTimer(wait)
	defer end.Stop()
	visible := time.NewTimer(wait)
	defer visible.Stop()
	for {
		var due time.Time
		events, next, due, err = s.table.since(prefix, from, time.Now())
		faults, _, changed := s.faults.get()
		if err != nil || len(events) > 0 || faults.Outage != NoOutage {
			return events, next, err
		}
		if !due.IsZero() {
			visible.Reset(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil, next, ctx.Err()
		case <-end.C:
			return nil, next, nil
		case <-w.signal:
		case <-visible.C:
		case <-changed:
		}
	}
}
