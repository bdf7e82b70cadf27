package proxy

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// maxWord bounds what an upstream says at once, in bytes.
	maxWord = 64 << 10
	// ackTime bounds the wait for an acknowledgement.
	ackTime = 950 * time.Millisecond
)

// words takes what the upstream says to the control thread and waits until it
// may be acknowledged.
type words struct {
	post   func(spoken cells.PendingReport) bool
	form   RegistrationCodec
	logger zerolog.Logger
	// known reports whether a service is one of the mesh's.
	known func(service mesh.Service) bool

	mutex sync.Mutex
	next  uint64
	// waiting holds the words that are not acknowledged; guarded by mutex.
	waiting map[uint64]chan cells.ReportAck
}

// adminRoutes serves the upstream beside the proxy, and operators.
func (p *Proxy) adminRoutes(engine *server.Hertz) {
	path := p.platform.Registrations.PathPrefix() + ":instance"
	engine.PUT(path, p.words.announce)
	engine.DELETE(path, p.words.farewell)
	engine.GET("/metrics", func(_ context.Context, c *app.RequestContext) {
		c.SetContentType("text/plain; charset=utf-8")
		if err := p.WriteMetrics(c); err != nil {
			p.logger.Warn().Err(err).Msg("metricsNotWritten")
		}
	})
	engine.GET("/status", func(_ context.Context, c *app.RequestContext) {
		c.JSON(http.StatusOK, p.Status())
	})
	engine.GET("/version", func(_ context.Context, c *app.RequestContext) {
		c.Data(http.StatusOK, "application/json", p.cells.ActiveVersion.Load().Document)
	})
}

func (w *words) announce(ctx context.Context, c *app.RequestContext) {
	word, err := w.form.DecodeRegistration(c.Param("instance"), c.Request.Body())
	if err == nil && !w.known(word.Service) {
		err = fmt.Errorf("unknown service %q", word.Service)
	}
	w.take(ctx, c, word, err)
}

func (w *words) farewell(ctx context.Context, c *app.RequestContext) {
	word, err := w.form.DecodeDeregistration(c.Param("instance"), c.Request.Body())
	w.take(ctx, c, word, err)
}

// take hands a word to the control thread and answers once it may be acknowledged.
func (w *words) take(ctx context.Context, c *app.RequestContext, word fleet.Report, err error) {
	if err != nil {
		w.logger.Warn().Str("instance", c.Param("instance")).Int("bytes", len(c.Request.Body())).Err(err).Msg("wordRefused")
		c.JSON(http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{err.Error()})
		return
	}
	ack, done := w.wait()
	defer w.forget(ack)
	if !w.post(cells.PendingReport{Report: word, ID: ack}) {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(ackTime)
	defer timer.Stop()
	select {
	case <-done:
		c.JSON(http.StatusOK, struct{}{})
	case <-timer.C:
		c.SetStatusCode(http.StatusServiceUnavailable)
	case <-ctx.Done():
	}
}

func (w *words) wait() (ack uint64, done chan cells.ReportAck) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting == nil {
		w.waiting = make(map[uint64]chan cells.ReportAck)
	}
	w.next++
	done = make(chan cells.ReportAck, 1)
	w.waiting[w.next] = done
	return w.next, done
}

func (w *words) forget(ack uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.waiting, ack)
}

// acked lets a word be acknowledged. It runs on the control thread.
func (w *words) acked(ack cells.ReportAck) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if done := w.waiting[ack.ID]; done != nil {
		done <- ack
		delete(w.waiting, ack.ID)
	}
}

// knows reports whether the mesh has the service, as far as that is known.
func (p *Proxy) knows(service mesh.Service) bool {
	if service == p.settings.Load().Service {
		return true
	}
	_, known := p.cells.Snapshot.Load().Plan.Service(service)
	return known
}
