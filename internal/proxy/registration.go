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
	// maxRegistrationBytes limits the body of one registration.
	maxRegistrationBytes = 64 << 10
	// ackTimeout limits the wait for an acknowledgement by the control thread.
	ackTimeout = 950 * time.Millisecond
)

// registrationHandler passes the registrations of the upstream to the control thread
// and responds once they are acknowledged.
type registrationHandler struct {
	post   func(report cells.PendingReport) bool
	codec  RegistrationCodec
	logger zerolog.Logger
	// isKnownService reports whether the service exists in the mesh.
	isKnownService func(service mesh.Service) bool

	mutex  sync.Mutex
	lastID uint64
	// pending holds the channels of unacknowledged reports by ID; guarded by mutex.
	pending map[uint64]chan cells.ReportAck
}

// addAdminRoutes adds the routes for the upstream of this host and for operators.
func (p *Proxy) addAdminRoutes(engine *server.Hertz) {
	path := p.platform.Registrations.PathPrefix() + ":instance"
	engine.PUT(path, p.registrations.register)
	engine.DELETE(path, p.registrations.deregister)
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
		p.showVersion(c)
	})
}

// showVersion answers with the document of the version in force, without secrets.
func (p *Proxy) showVersion(c *app.RequestContext) {
	document := p.cells.ActiveVersion.Load().Document
	if redact := p.platform.RedactPlan; redact != nil && document != nil {
		var err error
		if document, err = redact(document); err != nil {
			c.AbortWithMsg("the document cannot be shown", http.StatusInternalServerError)
			return
		}
	}
	c.Data(http.StatusOK, "application/json", document)
}

func (h *registrationHandler) register(ctx context.Context, c *app.RequestContext) {
	report, err := h.codec.DecodeRegistration(c.Param("instance"), c.Request.Body())
	if err == nil && !h.isKnownService(report.Service) {
		err = fmt.Errorf("unknown service %q", report.Service)
	}
	h.submit(ctx, c, report, err)
}

func (h *registrationHandler) deregister(ctx context.Context, c *app.RequestContext) {
	report, err := h.codec.DecodeDeregistration(c.Param("instance"), c.Request.Body())
	h.submit(ctx, c, report, err)
}

// submit passes a report to the control thread and responds once it is acknowledged.
func (h *registrationHandler) submit(ctx context.Context, c *app.RequestContext, report fleet.Report, err error) {
	if err != nil {
		h.logger.Warn().Str("instance", c.Param("instance")).Int("bytes", len(c.Request.Body())).Err(err).Msg("wordRefused")
		c.JSON(http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{err.Error()})
		return
	}
	id, done := h.newAck()
	defer h.cancelAck(id)
	if !h.post(cells.PendingReport{Report: report, ID: id}) {
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-done:
		c.JSON(http.StatusOK, struct{}{})
	case <-timer.C:
		c.SetStatusCode(http.StatusServiceUnavailable)
	case <-ctx.Done():
	}
}

func (h *registrationHandler) newAck() (id uint64, done chan cells.ReportAck) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending == nil {
		h.pending = make(map[uint64]chan cells.ReportAck)
	}
	h.lastID++
	done = make(chan cells.ReportAck, 1)
	h.pending[h.lastID] = done
	return h.lastID, done
}

func (h *registrationHandler) cancelAck(id uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.pending, id)
}

// acknowledge marks a report as acknowledged. It runs on the control thread.
func (h *registrationHandler) acknowledge(ack cells.ReportAck) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if done := h.pending[ack.ID]; done != nil {
		done <- ack
		delete(h.pending, ack.ID)
	}
}

// isKnownService reports whether the service is in the version in force or is the
// configured service of this host.
func (p *Proxy) isKnownService(service mesh.Service) bool {
	if service == p.settings.Load().Service {
		return true
	}
	_, known := p.cells.Snapshot.Load().Plan.Service(service)
	return known
}
