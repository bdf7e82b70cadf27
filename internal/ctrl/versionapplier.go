package ctrl

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// documentName is the name of the object that contains the operator's document.
const documentName = "main"

// versionApplier puts the newest version from the platform or a reader in force. A
// document that cannot be decoded is refused as a whole. Versions in force only
// increase.
type versionApplier struct {
	*cells.Proxy
	codec Codec
}

func newVersionApplier(proxy *cells.Proxy, codec Codec) board.Controller {
	v := &versionApplier{Proxy: proxy, codec: codec}
	return board.Controller{
		Name:   "versionApplier",
		Reads:  []board.Ref{&proxy.ObjectEvents, &proxy.LinkEvents},
		Uses:   []board.Ref{&proxy.Peers},
		Writes: []board.Ref{&proxy.ActiveVersion, &proxy.LinkCommands, &proxy.LogEvents},
		Step:   v.step,
	}
}

func (v *versionApplier) step(now time.Time) {
	for _, e := range v.ObjectEvents.Events() {
		if e.Kind != cells.VersionObjects || e.Result != cells.StoreDone {
			continue
		}
		// Of several versions, only the newest that can be decoded is put in force. The
		// platform may report changes in any order.
		byVersion := slices.SortedStableFunc(slices.Values(e.Objects), func(a, b cells.Object) int { return cmp.Compare(a.Version, b.Version) })
		for _, o := range slices.Backward(byVersion) {
			if o.Name == documentName && !o.Deleted && v.apply(o.Value, "", now) {
				break
			}
		}
	}
	for _, e := range v.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.Document); ok {
			v.handleDocument(e.Link, m, now)
		}
	}
}

// handleDocument decompresses a document from a reader. If that fails, or this
// proxy does not have the base, it requests the full document.
func (v *versionApplier) handleDocument(link cells.LinkID, m ctlmsg.Document, now time.Time) {
	active := v.ActiveVersion.Get()
	if m.Version <= active.Plan.Version() {
		return
	}
	var base []byte
	if m.Base != 0 {
		base = active.Document
	}
	document, err := v.codec.Decompress(m.Compressed, base)
	if m.Base != 0 && m.Base != active.Plan.Version() || err != nil {
		v.log("versionUnpackFailed", m.Version, v.hostOf(link), err)
		proxySend(v.Proxy, link, ctlmsg.Subscribe{})
		return
	}
	v.apply(document, v.hostOf(link), now)
}

func (v *versionApplier) hostOf(link cells.LinkID) mesh.HostID {
	if p := v.Peers.Read().Get(link); p != nil {
		return p.Hello.Host
	}
	return ""
}

// apply puts a document in force if its version is higher than the one in force. It
// reports whether the document could be decoded.
func (v *versionApplier) apply(document []byte, source mesh.HostID, now time.Time) (ok bool) {
	active := v.ActiveVersion.Get()
	decoded, err := v.codec.DecodePlan(document)
	if err != nil {
		if active.RefusalReason != err.Error() {
			active.RefusalReason, active.RefusedVersion = err.Error(), 0
			var invalid *plan.InvalidError
			if errors.As(err, &invalid) {
				active.RefusedVersion = invalid.Version
			}
			v.ActiveVersion.Set(active)
			v.log("versionRefused", active.RefusedVersion, source, err)
		}
		return false
	}
	if decoded.Version() <= active.Plan.Version() {
		return true
	}
	v.ActiveVersion.Set(cells.ActiveVersion{Plan: decoded, Document: document, Since: now, Source: source})
	v.LogEvents.Send(cells.LogEvent{Name: "versionInForce", Fields: []cells.LogField{
		{Name: "version", Value: uint64(decoded.Version())},
		{Name: "before", Value: uint64(active.Plan.Version())},
		{Name: "from", Value: string(source)},
		{Name: "bytes", Value: len(document)},
		{Name: "rules", Value: decoded.NumRules()},
	}})
	return true
}

func (v *versionApplier) log(event string, version mesh.Version, source mesh.HostID, err error) {
	v.LogEvents.Send(cells.LogEvent{Name: event, Fields: []cells.LogField{
		{Name: "version", Value: uint64(version)},
		{Name: "inForce", Value: uint64(v.ActiveVersion.Get().Plan.Version())},
		{Name: "from", Value: string(source)},
		{Name: "reason", Value: errorText(err)},
	}})
}
