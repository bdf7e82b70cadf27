package once_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
)

func TestMain(m *testing.M) {
	// Rare orders of events need many runs; each is short.
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var (
	service = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

const window = 10 * time.Minute

func ExampleKeyTable() {
	memory := &once.ResponseCache[string]{}
	ledger := &once.KeyTable[string]{Responses: memory}
	key := once.HashKey(service, "order-1")
	first, repeat := once.TokenOf("first"), once.TokenOf("repeat")

	fmt.Println(ledger.Begin(epoch, key, first, window).Kind)
	fmt.Printf("%T\n", ledger.NextAction(epoch))
	ledger.HandleRead(epoch, 0, once.Claims{})
	write, _ := ledger.NextAction(epoch).(once.WriteObject)
	fmt.Println("claims", len(write.Claims.Entries))
	fmt.Println(ledger.HandleWrite(epoch, once.Applied, 1)[0].Kind)
	fmt.Println(ledger.Begin(epoch, key, repeat, window).Kind)
	ledger.Complete(key, first, "201 Created", 11)
	again := ledger.Begin(epoch, key, repeat, window)
	fmt.Println(again.Kind, again.Response)
	// Output:
	// write
	// once.ReadObject
	// claims 1
	// run
	// wait
	// replay 201 Created
}

// network is a store whose writes may arrive late and whose answers may be lost.
type network struct {
	version uint64
	claims  once.Claims
	delayed []once.WriteObject
	// old holds what was overwritten; a read may still show it.
	old []snapshot
}

// snapshot is the object at one version.
type snapshot struct {
	version uint64
	claims  once.Claims
}

func (n *network) apply(w once.WriteObject) bool {
	if w.ExpectedVersion != n.version {
		return false
	}
	n.old = append(n.old, snapshot{version: n.version, claims: n.claims})
	n.version++
	n.claims = w.Claims
	return true
}

// owner is one host that takes itself for the shard's owner.
type owner struct {
	ledger *once.KeyTable[string]
	// skew is how far its clock is off.
	skew time.Duration
	// inHand holds the granted attempts that are not ended.
	inHand map[once.KeyHash]once.Token
	// waiting holds the attempts that wait for their grants.
	waiting map[once.KeyHash]once.Token
	// write is the write in flight; nil when there is none.
	write   *once.WriteObject
	reading bool
}

// world checks every grant against the naive rule: a key that was handed over
// is never granted again before the first grant's Until.
type world struct {
	*rapid.T
	now    time.Time
	store  network
	owners []*owner
	tokens int
	until  map[once.KeyHash]time.Time
	grants int
	// healed is true once the store answers everything.
	healed bool
}

func (w *world) local(o *owner) time.Time { return w.now.Add(o.skew) }

func (w *world) ran(o *owner, key once.KeyHash, token once.Token, until time.Time) {
	if end, ok := w.until[key]; ok && w.now.Before(end) {
		w.Fatalf("key %x granted again %s before its window ends", key[:2], end.Sub(w.now))
	}
	w.until[key] = until.Add(-o.skew)
	o.inHand[key] = token
	w.grants++
}

func (w *world) take(o *owner, grants []once.Grant) {
	for _, g := range grants {
		if o.waiting[g.Key] != g.Token {
			w.Fatalf("grant of a token that does not wait")
		}
		delete(o.waiting, g.Key)
		if g.Kind == once.Run {
			w.ran(o, g.Key, g.Token, g.Until)
		}
	}
}

func (w *world) begin(o *owner, key once.KeyHash) {
	w.tokens++
	token := once.TokenOf(fmt.Sprint(w.tokens))
	d := o.ledger.Begin(w.local(o), key, token, window)
	switch d.Kind {
	case once.Run:
		w.ran(o, key, token, d.Until)
	case once.ClaimPending:
		o.waiting[key] = token
	}
}

func (w *world) step(o *owner) {
	if o.write != nil {
		w.answer(o)
		return
	}
	if o.reading {
		o.reading = false
		switch w.draw(9, "read") {
		case 0, 1:
			o.ledger.HandleReadError(w.local(o))
			return
		case 2:
			if n := len(w.store.old); n > 0 {
				s := w.store.old[max(0, n-rapid.IntRange(1, 3).Draw(w.T, "stale"))]
				w.take(o, o.ledger.HandleRead(w.local(o), s.version, s.claims))
				return
			}
		}
		w.take(o, o.ledger.HandleRead(w.local(o), w.store.version, w.store.claims))
		return
	}
	switch i := o.ledger.NextAction(w.local(o)).(type) {
	case once.ReadObject:
		o.reading = true
	case once.WriteObject:
		assert.NilError(w.T, i.Claims.Validate())
		o.write = &i
	}
}

// draw draws what befalls a read or write; the highest number is no fault.
func (w *world) draw(highest int, what string) int {
	if w.healed {
		return highest
	}
	return rapid.IntRange(0, highest).Draw(w.T, what)
}

// heal lets every owner work undisturbed until nothing waits.
func (w *world) heal() {
	w.healed = true
	for range 20 {
		for _, o := range w.owners {
			w.now = w.now.Add(10 * time.Second)
			w.step(o)
		}
	}
	for _, o := range w.owners {
		if len(o.waiting) > 0 {
			w.Fatalf("%d requests still wait", len(o.waiting))
		}
	}
}

// answer ends a write: it arrives or not, now or later, and is answered or not.
func (w *world) answer(o *owner) {
	write := *o.write
	o.write = nil
	fate := []string{"failed", "lost answer", "delayed", "lost", "answered", "answered"}[w.draw(5, "fate")]
	outcome := once.Unknown
	switch fate {
	case "answered":
		outcome = once.Conflict
		if w.store.apply(write) {
			outcome = once.Applied
		}
	case "lost answer":
		w.store.apply(write)
	case "delayed":
		w.store.delayed = append(w.store.delayed, write)
	case "failed":
		outcome = once.Failed
	}
	w.take(o, o.ledger.HandleWrite(w.local(o), outcome, w.store.version))
}

func (w *world) end(o *owner, key once.KeyHash) {
	if token, ok := o.waiting[key]; ok && rapid.Bool().Draw(w.T, "abandon") {
		o.ledger.CancelClaim(key, token)
		delete(o.waiting, key)
	}
	token, ok := o.inHand[key]
	if !ok {
		return
	}
	delete(o.inHand, key)
	switch rapid.IntRange(0, 2).Draw(w.T, "end") {
	case 0:
		o.ledger.Complete(key, token, "answer", 6)
	case 1:
		o.ledger.MarkInDoubt(key, token)
	case 2:
		delete(w.until, key) // not handed over: another may be granted
		o.ledger.Release(key, token)
	}
}

func (w *world) fresh(o *owner) {
	o.ledger = &once.KeyTable[string]{Responses: &once.ResponseCache[string]{}, MinInterval: time.Millisecond}
	o.inHand, o.waiting = map[once.KeyHash]once.Token{}, map[once.KeyHash]once.Token{}
	if o.write != nil {
		w.store.delayed = append(w.store.delayed, *o.write)
	}
	o.write, o.reading = nil, false
}

func TestNoKeyIsGrantedTwiceUnderManyOwnersAndLostAnswers(t *testing.T) {
	keys := []once.KeyHash{{1}, {2}, {3}}
	grants := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{T: rt, now: epoch, until: map[once.KeyHash]time.Time{}}
		for i := range 3 {
			o := &owner{skew: time.Duration(i-1) * time.Hour}
			w.fresh(o)
			w.owners = append(w.owners, o)
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			o := rapid.SampledFrom(w.owners).Draw(rt, "owner")
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			switch rapid.IntRange(0, 13).Draw(rt, "action") {
			case 0, 1, 2:
				w.begin(o, key)
			case 3, 4:
				w.end(o, key)
			case 5:
				if n := len(w.store.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "late")
					w.store.apply(w.store.delayed[i])
				}
			case 6:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, int(window)).Draw(rt, "pause")))
			case 7:
				if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
					w.fresh(o)
				}
			default:
				w.now = w.now.Add(5 * time.Millisecond)
				w.step(o)
			}
		}
		w.heal()
		grants += w.grants
	})
	assert.Assert(t, grants > 100, "only %d grants: the test hardly grants", grants)
	t.Logf("%d grants", grants)
}
