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
	// Rare event orders need many runs; each run is short.
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
	cache := &once.ResponseCache[string]{}
	table := &once.KeyTable[string]{Responses: cache}
	key := once.HashKey(service, "order-1")
	first, repeat := once.TokenOf("first"), once.TokenOf("repeat")

	fmt.Println(table.Begin(epoch, key, first, window).Kind)
	fmt.Printf("%T\n", table.NextAction(epoch))
	table.HandleRead(epoch, 0, once.Claims{})
	write, _ := table.NextAction(epoch).(once.WriteObject)
	fmt.Println("claims", len(write.Claims.Entries))
	fmt.Println(table.HandleWrite(epoch, once.Applied, 1)[0].Kind)
	fmt.Println(table.Begin(epoch, key, repeat, window).Kind)
	table.Complete(key, first, "201 Created", 11)
	again := table.Begin(epoch, key, repeat, window)
	fmt.Println(again.Kind, again.Response)
	// Output:
	// write
	// once.ReadObject
	// claims 1
	// run
	// wait
	// replay 201 Created
}

// fakeStore is a store whose writes may arrive late and whose responses may be
// lost.
type fakeStore struct {
	version uint64
	claims  once.Claims
	delayed []once.WriteObject
	// previous holds the overwritten versions, which a read may still return.
	previous []objectVersion
}

// objectVersion is the object at one version.
type objectVersion struct {
	version uint64
	claims  once.Claims
}

func (s *fakeStore) apply(w once.WriteObject) bool {
	if w.ExpectedVersion != s.version {
		return false
	}
	s.previous = append(s.previous, objectVersion{version: s.version, claims: s.claims})
	s.version++
	s.claims = w.Claims
	return true
}

// owner is a host that considers itself the shard's owner.
type owner struct {
	table *once.KeyTable[string]
	// skew is the offset of its clock.
	skew time.Duration
	// running holds the granted attempts that have not finished.
	running map[once.KeyHash]once.Token
	// waiting holds the attempts that wait for a grant.
	waiting map[once.KeyHash]once.Token
	// write is the outstanding write, if any.
	write   *once.WriteObject
	reading bool
}

// simulation checks every grant against the specification: a key that was
// forwarded is not granted again before the Until of its first grant.
type simulation struct {
	*rapid.T
	now    time.Time
	store  fakeStore
	owners []*owner
	tokens int
	until  map[once.KeyHash]time.Time
	grants int
	// healthy is true once the store no longer fails.
	healthy bool
}

func (s *simulation) clock(o *owner) time.Time { return s.now.Add(o.skew) }

func (s *simulation) recordRun(o *owner, key once.KeyHash, token once.Token, until time.Time) {
	if end, ok := s.until[key]; ok && s.now.Before(end) {
		s.Fatalf("key %x granted again %s before its window ended", key[:2], end.Sub(s.now))
	}
	s.until[key] = until.Add(-o.skew)
	o.running[key] = token
	s.grants++
}

func (s *simulation) receive(o *owner, grants []once.Grant) {
	for _, g := range grants {
		if o.waiting[g.Key] != g.Token {
			s.Fatalf("grant for a request that is not waiting")
		}
		delete(o.waiting, g.Key)
		if g.Kind == once.Run {
			s.recordRun(o, g.Key, g.Token, g.Until)
		}
	}
}

func (s *simulation) begin(o *owner, key once.KeyHash) {
	s.tokens++
	token := once.TokenOf(fmt.Sprint(s.tokens))
	d := o.table.Begin(s.clock(o), key, token, window)
	switch d.Kind {
	case once.Run:
		s.recordRun(o, key, token, d.Until)
	case once.ClaimPending:
		o.waiting[key] = token
	}
}

func (s *simulation) step(o *owner) {
	if o.write != nil {
		s.finishWrite(o)
		return
	}
	if o.reading {
		o.reading = false
		switch s.drawFault(9, "read") {
		case 0, 1:
			o.table.HandleReadError(s.clock(o))
			return
		case 2:
			if n := len(s.store.previous); n > 0 {
				v := s.store.previous[max(0, n-rapid.IntRange(1, 3).Draw(s.T, "stale"))]
				s.receive(o, o.table.HandleRead(s.clock(o), v.version, v.claims))
				return
			}
		}
		s.receive(o, o.table.HandleRead(s.clock(o), s.store.version, s.store.claims))
		return
	}
	switch i := o.table.NextAction(s.clock(o)).(type) {
	case once.ReadObject:
		o.reading = true
	case once.WriteObject:
		assert.NilError(s.T, i.Claims.Validate())
		o.write = &i
	}
}

// drawFault draws the fault of a read or write; the highest number means no
// fault.
func (s *simulation) drawFault(highest int, what string) int {
	if s.healthy {
		return highest
	}
	return rapid.IntRange(0, highest).Draw(s.T, what)
}

// recoverStore ends the faults and checks that every waiting request gets a
// grant.
func (s *simulation) recoverStore() {
	s.healthy = true
	for range 20 {
		for _, o := range s.owners {
			s.now = s.now.Add(10 * time.Second)
			s.step(o)
		}
	}
	for _, o := range s.owners {
		if len(o.waiting) > 0 {
			s.Fatalf("%d requests are still waiting after the store recovered", len(o.waiting))
		}
	}
}

// finishWrite ends a write: it is applied now, later or never, and its response
// arrives or is lost.
func (s *simulation) finishWrite(o *owner) {
	write := *o.write
	o.write = nil
	result := []string{"failed", "response lost", "delayed", "request lost", "delivered", "delivered"}[s.drawFault(5, "result")]
	outcome := once.Unknown
	switch result {
	case "delivered":
		outcome = once.Conflict
		if s.store.apply(write) {
			outcome = once.Applied
		}
	case "response lost":
		s.store.apply(write)
	case "delayed":
		s.store.delayed = append(s.store.delayed, write)
	case "failed":
		outcome = once.Failed
	}
	s.receive(o, o.table.HandleWrite(s.clock(o), outcome, s.store.version))
}

func (s *simulation) finishRequest(o *owner, key once.KeyHash) {
	if token, ok := o.waiting[key]; ok && rapid.Bool().Draw(s.T, "abandon") {
		o.table.CancelClaim(key, token)
		delete(o.waiting, key)
	}
	token, ok := o.running[key]
	if !ok {
		return
	}
	delete(o.running, key)
	switch rapid.IntRange(0, 2).Draw(s.T, "end") {
	case 0:
		o.table.Complete(key, token, "response", 6)
	case 1:
		o.table.MarkInDoubt(key, token)
	case 2:
		delete(s.until, key) // not forwarded, so another grant is allowed
		o.table.Release(key, token)
	}
}

func (s *simulation) restart(o *owner) {
	o.table = &once.KeyTable[string]{Responses: &once.ResponseCache[string]{}, MinInterval: time.Millisecond}
	o.running, o.waiting = map[once.KeyHash]once.Token{}, map[once.KeyHash]once.Token{}
	if o.write != nil {
		s.store.delayed = append(s.store.delayed, *o.write)
	}
	o.write, o.reading = nil, false
}

func TestKeyIsGrantedOnceAmongManyOwnersAndLostResponses(t *testing.T) {
	keys := []once.KeyHash{{1}, {2}, {3}}
	grants := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{T: rt, now: epoch, until: map[once.KeyHash]time.Time{}}
		for i := range 3 {
			o := &owner{skew: time.Duration(i-1) * time.Hour}
			s.restart(o)
			s.owners = append(s.owners, o)
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			o := rapid.SampledFrom(s.owners).Draw(rt, "owner")
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			switch rapid.IntRange(0, 13).Draw(rt, "action") {
			case 0, 1, 2:
				s.begin(o, key)
			case 3, 4:
				s.finishRequest(o, key)
			case 5:
				if n := len(s.store.delayed); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "late")
					s.store.apply(s.store.delayed[i])
				}
			case 6:
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, int(window)).Draw(rt, "pause")))
			case 7:
				if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
					s.restart(o)
				}
			default:
				s.now = s.now.Add(5 * time.Millisecond)
				s.step(o)
			}
		}
		s.recoverStore()
		grants += s.grants
	})
	assert.Assert(t, grants > 100, "only %d grants; want more than 100 for the test to be meaningful", grants)
	t.Logf("%d grants", grants)
}
