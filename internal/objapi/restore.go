package objapi

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"arbutusstep.example/arbutusstep/internal/pause"
)

// EraHeader is the header of all responses with the number of times that the store was
// restored from a copy. It is left out if that is zero.
const EraHeader = "Object-Era"

// storeCopy is a copy of the objects of a store and of its history.
type storeCopy struct {
	objects     map[string]Object
	keys        []string
	revision    uint64
	history     []historyEvent
	historySize int
}

func (s *memStore) takeCopy() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{
		objects: maps.Clone(s.objects), keys: slices.Clone(s.keys), revision: s.revision,
		history: slices.Clone(s.history), historySize: s.historySize,
	}
}

// restore replaces the store by the copy, whose revisions after it are given out again, and
// begins a new era.
func (s *memStore) restore(copied storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects, s.keys, s.revision = copied.objects, copied.keys, copied.revision
	s.history, s.historySize = copied.history, copied.historySize
	s.era++
	for w := range s.watchers {
		w.wake()
	}
}

func (s *memStore) currentEra() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// Copy is a copy of a store, from which it can be restored once.
type Copy struct {
	state storeCopy
}

// TakeCopy returns a copy of the store.
func (s *Server) TakeCopy() *Copy {
	return &Copy{state: s.store.takeCopy()}
}

// Restore drops all calls during the outage and comes back with the copy and the next era.
// What was written since the copy is lost, its revisions are given out again, and watches
// from them get 410. Other faults go on.
func (s *Server) Restore(ctx context.Context, copied *Copy, outage time.Duration) (err error) {
	s.faults.setRestoring(true)
	defer s.faults.setRestoring(false)
	if err = pause.For(ctx, outage); err != nil {
		return fmt.Errorf("restore from a copy: %w", err)
	}
	s.store.restore(copied.state)
	return nil
}

// postRestore takes a copy, goes on for the age of the copy, and restores it.
func (s *Server) postRestore(ctx context.Context, rc *app.RequestContext) {
	age, err := decodeDelay(rc.Query("age"))
	outage, outageErr := decodeDelay(rc.Query("outage"))
	if err = errors.Join(err, outageErr); err != nil {
		badRequest(rc, err)
		return
	}
	copied := s.TakeCopy()
	if err = pause.For(ctx, age); err == nil {
		err = s.Restore(ctx, copied, outage)
	}
	if err != nil {
		rc.JSON(consts.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	rc.SetStatusCode(consts.StatusNoContent)
}

// decodeDelay parses a delay of the query; empty means none.
func decodeDelay(text string) (delay time.Duration, err error) {
	if text == "" {
		return 0, nil
	}
	return decodeWait(text)
}

// runInEra runs a handler and sets the era of its response. A call during which an era
// ended gets no response, as it may have seen the objects of either.
func (s *Server) runInEra(ctx context.Context, rc *app.RequestContext, h handler) (respond bool) {
	era := s.store.currentEra()
	respond = h(ctx, rc) && s.store.currentEra() == era
	setEra(rc, era)
	return respond
}

func setEra(rc *app.RequestContext, era uint64) {
	if era > 0 {
		rc.Header(EraHeader, strconv.FormatUint(era, 10))
	}
}
