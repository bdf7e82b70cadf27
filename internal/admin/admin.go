// Package admin serves the admin API of a node over HTTP. The local upstream
// announces itself there; operators read and change the settings tree, follow
// the rollout of a change and inspect the node.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// renewWithin is the interval within which an upstream must renew its
// announcement.
const renewWithin = 3 * time.Second

// MaxBodyBytes bounds the size of a request body.
const MaxBodyBytes = 1 << 20

// Configuration reads and changes the settings tree.
type Configuration interface {
	Head(ctx context.Context) (head tree.Head, objectVersion uint64, err error)
	Read(ctx context.Context) (head tree.Head, whole *tree.Tree, objectVersion uint64, err error)
	Submit(ctx context.Context, change tree.Change) (version mesh.Version, err error)
}

// SlotReader reads the relay slots of all availability zones.
type SlotReader interface {
	ReadSlots(ctx context.Context) (slots []cells.SlotObject, err error)
}

// Node is the node that serves the API, with its local upstream.
type Node interface {
	// Announce handles an announcement of the local upstream, whose address may
	// have changed.
	Announce(announcement cells.Announcement)
	// Drain makes the node leave the mesh without cutting off calls.
	Drain()
	// Status returns the present state of the node.
	Status() forms.Status
	// Burn reports the service levels that this node has measured.
	Burn() burn.Report
	// WriteMetrics writes the metrics as text.
	WriteMetrics(w io.Writer) error
}

// API serves the admin API. All its interfaces must be set.
type API struct {
	Configuration Configuration
	Slots         SlotReader
	Node          Node
	// StaleAfter is the time since its last renewal after which a relay slot counts
	// as abandoned; zero for never. It must allow for clock skew between hosts.
	StaleAfter time.Duration
}

// Routes registers the routes of the API.
func (a *API) Routes(engine *server.Hertz) {
	engine.PUT("/v1/upstream", a.announce)
	engine.POST("/v1/upstream/drain", a.drainUpstream)
	engine.DELETE("/v1/upstream", a.leave)
	engine.GET("/v1/tree", a.tree)
	engine.GET("/v1/effective", a.effective)
	engine.POST("/v1/changes", a.submit)
	engine.GET("/v1/history", a.history)
	engine.GET("/v1/rollout", a.rollout)
	engine.GET("/v1/fleet", a.fleet)
	engine.GET("/v1/status", a.status)
	engine.GET("/v1/burn", a.burn)
	engine.POST("/v1/drain", a.drainNode)
	engine.GET("/metrics", a.metrics)
}

func (a *API) status(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, a.Node.Status())
}

func (a *API) burn(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, forms.FromBurn(a.Node.Burn()))
}

func (a *API) drainNode(_ context.Context, c *app.RequestContext) {
	a.Node.Drain()
	c.JSON(http.StatusAccepted, a.Node.Status())
}

func (a *API) metrics(_ context.Context, c *app.RequestContext) {
	c.SetContentType("text/plain; charset=utf-8")
	if err := a.Node.WriteMetrics(c); err != nil {
		writeError(c, err)
	}
}

func (a *API) announce(_ context.Context, c *app.RequestContext) {
	var body forms.Announcement
	if err := decodeBody(c, &body); err != nil {
		writeError(c, err)
		return
	}
	if err := checkUpstream(body); err != nil {
		writeError(c, err)
		return
	}
	a.Node.Announce(cells.Announcement{
		Kind:    cells.Announce,
		ID:      mesh.ServiceID{Customer: body.Customer, Service: body.Service},
		Address: body.Address, Slots: body.Slots, Connections: body.Connections,
	})
	c.JSON(http.StatusOK, forms.Renewal{RenewWithin: renewWithin.String()})
}

func (a *API) drainUpstream(_ context.Context, c *app.RequestContext) {
	a.Node.Announce(cells.Announcement{Kind: cells.DrainUpstream})
	c.JSON(http.StatusAccepted, a.Node.Status())
}

func (a *API) leave(_ context.Context, c *app.RequestContext) {
	a.Node.Announce(cells.Announcement{Kind: cells.LeaveUpstream})
	c.JSON(http.StatusOK, a.Node.Status())
}

// decodeBody decodes a JSON body and rejects unknown keys.
func decodeBody(c *app.RequestContext, body any) (err error) {
	decoder := json.NewDecoder(bytes.NewReader(c.Request.Body()))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(body); err != nil {
		return &invalidError{err: err}
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return &invalidError{err: errors.New("body has data after its JSON object")}
	}
	return nil
}

// invalidError reports an invalid request.
type invalidError struct {
	err error
}

func (e *invalidError) Error() string {
	return e.err.Error()
}

func (e *invalidError) Unwrap() error {
	return e.err
}

// Limits of an announcement.
const (
	maxSlots       = 100_000
	maxConnections = 1_000_000
)

func checkUpstream(body forms.Announcement) (err error) {
	for _, name := range []string{string(body.Customer), string(body.Service)} {
		if err = mesh.CheckName(name); err != nil {
			return &invalidError{err: err}
		}
	}
	switch {
	case !body.Address.IsValid() || body.Address.Port() == 0:
		err = errors.New("address must be an IP address and port")
	case body.Slots < 1 || body.Slots > maxSlots:
		err = errors.New("slots must be from 1 to 100000")
	case body.Connections < 1 || body.Connections > maxConnections:
		err = errors.New("connections must be from 1 to 1000000")
	}
	if err != nil {
		return &invalidError{err: err}
	}
	return nil
}
