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
		Uses:   []board.Ref{&proxy.Peers, &proxy.StoreEra},
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
			if o.Name == documentName && !o.Deleted && v.apply(o.Value, e.Era, "", now) {
				break
			}
		}
	}
	for _, e := range v.LinkEvents.Events() {
		switch m := e.Message.(type) {
		case ctlmsg.Document:
			v.handleDocument(e.Link, m, now)
		case ctlmsg.ReaderHeartbeat:
			if m.Version >= v.ActiveVersion.Get().Plan.Version() {
				v.raiseEra(m.VersionEra)
			}
		case ctlmsg.Subscribe:
			v.requestLater(e.Link, m)
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
	v.apply(document, m.Era, v.hostOf(link), now)
}

// raiseEra sets the highest era in which the store had the version in force or a later one.
func (v *versionApplier) raiseEra(era uint64) {
	active := v.ActiveVersion.Get()
	if active.Plan == nil || era <= active.Era {
		return
	}
	active.Era = era
	v.ActiveVersion.Set(active)
}

// requestLater requests the document of a subscriber that has a later version. That happens
// if this process started after the store was restored from a copy that lacks the version.
func (v *versionApplier) requestLater(link cells.LinkID, m ctlmsg.Subscribe) {
	active := v.ActiveVersion.Get()
	if v.StoreEra.Get() > 0 && active.Plan != nil && m.Version > active.Plan.Version() {
		proxySend(v.Proxy, link, ctlmsg.Subscribe{Version: active.Plan.Version(), DocumentOnly: true})
	}
}

func (v *versionApplier) hostOf(link cells.LinkID) mesh.HostID {
	if p := v.Peers.Read().Get(link); p != nil {
		return p.Hello.Host
	}
	return ""
}

// apply puts a document, which the store had in the era, in force if its version is higher
// than the one in force. It reports whether the document could be decoded.
func (v *versionApplier) apply(document []byte, era uint64, source mesh.HostID, now time.Time) (ok bool) {
	active := v.ActiveVersion.Get()
	decoded, err := v.codec.DecodePlan(document)
	if err != nil {
		v.refuse(err, era, source)
		return false
	}
	if decoded.Version() == active.Plan.Version() {
		v.raiseEra(era)
	}
	if decoded.Version() <= active.Plan.Version() {
		return true
	}
	v.ActiveVersion.Set(cells.ActiveVersion{Plan: decoded, Document: document, Since: now, Source: source, Era: era})
	v.LogEvents.Send(cells.LogEvent{Name: "versionInForce", Fields: []cells.LogField{
		{Name: "version", Value: uint64(decoded.Version())},
		{Name: "before", Value: uint64(active.Plan.Version())},
		{Name: "from", Value: string(source)},
		{Name: "bytes", Value: len(document)},
		{Name: "rules", Value: decoded.NumRules()},
		{Name: "keysRequired", Value: decoded.IdentifiesCallers()},
	}})
	return true
}

// refuse records why a document, which the store had in the era, was refused. One of a
// later version shows that the store is not behind the version in force.
func (v *versionApplier) refuse(err error, era uint64, source mesh.HostID) {
	active := v.ActiveVersion.Get()
	refused := mesh.Version(0)
	var invalid *plan.InvalidError
	if errors.As(err, &invalid) {
		refused = invalid.Version
	}
	if active.RefusalReason != err.Error() {
		active.RefusalReason, active.RefusedVersion = err.Error(), refused
		v.ActiveVersion.Set(active)
		v.log("versionRefused", refused, source, err)
	}
	if refused >= active.Plan.Version() {
		v.raiseEra(era)
	}
}

func (v *versionApplier) log(event string, version mesh.Version, source mesh.HostID, err error) {
	v.LogEvents.Send(cells.LogEvent{Name: event, Fields: []cells.LogField{
		{Name: "version", Value: uint64(version)},
		{Name: "inForce", Value: uint64(v.ActiveVersion.Get().Plan.Version())},
		{Name: "from", Value: string(source)},
		{Name: "reason", Value: errorText(err)},
	}})
}
