package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// versionsName is the name of the object that holds the operator's document.
const versionsName = "main"

// take puts the newest version in force, from the platform or from a reader. A
// version that can't be read is refused as a whole, and none is ever put in
// force after a higher one.
type take struct {
	*cells.Proxy
	forms Codec
}

func newTake(set *cells.Proxy, forms Codec) board.Controller {
	t := &take{Proxy: set, forms: forms}
	return board.Controller{
		Name:   "take",
		Reads:  []board.Ref{&set.ObjectEvents, &set.LinkEvents},
		Uses:   []board.Ref{&set.Peers},
		Writes: []board.Ref{&set.ActiveVersion, &set.LinkCommands, &set.LogEvents},
		Step:   t.step,
	}
}

func (t *take) step(now time.Time) {
	for _, e := range t.ObjectEvents.Events() {
		if e.Kind != cells.VersionObjects || e.Result != cells.StoreDone {
			continue
		}
		// Of several versions only the newest that can be read is put in force.
		for _, o := range slices.Backward(e.Objects) {
			if o.Name == versionsName && !o.Deleted && t.offer(o.Value, "", now) {
				break
			}
		}
	}
	for _, e := range t.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Document); ok {
			t.passedOn(e.Link, m, now)
		}
	}
}

// passedOn unpacks what a reader sent, or asks for it whole.
func (t *take) passedOn(link cells.LinkID, m ctlmsg.Document, now time.Time) {
	held := t.ActiveVersion.Get()
	if m.Version <= held.Plan.Version() {
		return
	}
	var base []byte
	if m.Base != 0 {
		base = held.Document
	}
	data, err := t.forms.Decompress(m.Compressed, base)
	if m.Base != 0 && m.Base != held.Plan.Version() || err != nil {
		t.note("versionUnpackFailed", m.Version, t.host(link), err)
		proxySend(t.Proxy, link, ctlmsg.Subscribe{})
		return
	}
	t.offer(data, t.host(link), now)
}

func (t *take) host(link cells.LinkID) mesh.HostID {
	if p := t.Peers.Read().Get(link); p != nil {
		return p.Hello.Host
	}
	return ""
}

// offer puts a document in force if it is newer than what is. It returns whether
// the document could be read.
func (t *take) offer(data []byte, from mesh.HostID, now time.Time) (read bool) {
	held := t.ActiveVersion.Get()
	made, err := t.forms.DecodePlan(data)
	if err != nil {
		if held.RefusalReason != err.Error() {
			held.RefusalReason = err.Error()
			t.ActiveVersion.Set(held)
			t.note("versionRefused", 0, from, err)
		}
		return false
	}
	if made.Version() <= held.Plan.Version() {
		return true
	}
	t.ActiveVersion.Set(cells.ActiveVersion{Plan: made, Document: data, Since: now, Source: from})
	t.LogEvents.Send(cells.LogEvent{Name: "versionInForce", Fields: []cells.LogField{
		{Name: "version", Value: uint64(made.Version())},
		{Name: "before", Value: uint64(held.Plan.Version())},
		{Name: "from", Value: string(from)},
		{Name: "bytes", Value: len(data)},
		{Name: "rules", Value: made.NumRules()},
	}})
	return true
}

func (t *take) note(event string, version mesh.Version, from mesh.HostID, err error) {
	t.LogEvents.Send(cells.LogEvent{Name: event, Fields: []cells.LogField{
		{Name: "version", Value: uint64(version)},
		{Name: "inForce", Value: uint64(t.ActiveVersion.Get().Plan.Version())},
		{Name: "from", Value: string(from)},
		{Name: "reason", Value: textOf(err)},
	}})
}
