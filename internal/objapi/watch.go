package objapi

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// event is the JSON encoding of an Event.
type event struct {
	object
	Deleted bool `json:"deleted"`
}

// watch responds with the events after a revision, or with none when there are
// none within the requested wait.
func (s *Server) watch(ctx context.Context, rc *app.RequestContext) (respond bool) {
	prefix := rc.Query("prefix")
	from, fromErr := decodeVersion(rc.Query("from"))
	wait, waitErr := decodeWait(rc.Query("wait"))
	if err := errors.Join(validatePrefix(prefix), fromErr, waitErr); err != nil {
		badRequest(rc, err)
		return true
	}
	_, freezeCount, _ := s.faults.get()
	found, next, err := s.awaitEvents(ctx, prefix, from, wait)
	if ctx.Err() != nil {
		return false
	}
	if s.frozen(freezeCount) {
		<-ctx.Done()
		return false
	}
	if !s.checkOutage(rc) {
		return false
	}
	if rc.Response.StatusCode() != consts.StatusOK {
		return true
	}
	if errors.Is(err, errGone) {
		rc.JSON(consts.StatusGone, errorBody{Error: err.Error(), Revision: next})
		return true
	}
	found = s.faults.reorder(found, s.Seed)
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

// frozen reports whether watches are frozen now, or have been frozen since the
// freeze count had the given value.
func (s *Server) frozen(freezeCount uint64) bool {
	faults, count, _ := s.faults.get()
	return faults.FreezeWatches || count != freezeCount
}

// awaitEvents waits until there are events, the wait is over, the context ends
// or an outage begins.
func (s *Server) awaitEvents(
	ctx context.Context, prefix string, from uint64, wait time.Duration,
) (events []Event, next uint64, err error) {
	w := s.store.watch(prefix)
	defer s.store.unwatch(w)
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	visibleTimer := time.NewTimer(wait)
	defer visibleTimer.Stop()
	for {
		var nextVisible time.Time
		events, next, nextVisible, err = s.store.eventsSince(prefix, from, time.Now())
		faults, _, changed := s.faults.get()
		if err != nil || len(events) > 0 || faults.Outage != NoOutage {
			return events, next, err
		}
		if !nextVisible.IsZero() {
			visibleTimer.Reset(time.Until(nextVisible))
		}
		select {
		case <-ctx.Done():
			return nil, next, ctx.Err()
		case <-waitTimer.C:
			return nil, next, nil
		case <-w.signal:
		case <-visibleTimer.C:
		case <-changed:
		}
	}
}
