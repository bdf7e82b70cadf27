package adopt_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/adopt"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260103"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	notices = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	archive = mesh.ServiceID{Customer: "trauerhaus", Service: "archive"}
)

// good returns an offer of a whole version; its value names version and root.
func good(version mesh.Version, root byte, needs ...mesh.ServiceID) adopt.Offer[string] {
	return adopt.Offer[string]{
		Version: version, ExpectedDigest: mesh.Digest{root}, ActualDigest: mesh.Digest{root},
		Value: fmt.Sprint(version, "/", root), RequiredServices: needs,
	}
}

func broken(o adopt.Offer[string]) adopt.Offer[string] {
	o.ActualDigest = mesh.Digest{0xff}
	return o
}

func faulty(o adopt.Offer[string]) adopt.Offer[string] {
	o.InvalidReason = "route names no service"
	return o
}

func ExampleAdopter() {
	var a adopt.Adopter[string]
	fmt.Println(a.Offer(epoch, good(7, 1, notices)).Result, a.Status().Missing)
	fmt.Println(a.MarkKnown(epoch, []mesh.ServiceID{notices}).Result)
	fmt.Println(a.Offer(epoch, good(6, 2)).Result)
	fmt.Println(a.InForce())
	// Output:
	// waits [trauerhaus/notices]
	// applied
	// older
	// 7 7/1 true
}

func TestOffers(t *testing.T) {
	tests := []struct {
		name    string
		offers  []adopt.Offer[string]
		last    adopt.Result
		state   adopt.State
		inForce mesh.Version
		pending mesh.Version
		refused mesh.Version
	}{
		{name: "whole version", offers: []adopt.Offer[string]{good(3, 1)}, last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 3},
		{name: "same again", offers: []adopt.Offer[string]{good(3, 1), good(3, 1)}, last: adopt.ResultUnchanged, state: adopt.StateInForce, inForce: 3},
		{name: "lower", offers: []adopt.Offer[string]{good(3, 1), good(2, 2)}, last: adopt.ResultStale, state: adopt.StateInForce, inForce: 3},
		{name: "zero", offers: []adopt.Offer[string]{good(0, 1)}, last: adopt.ResultRejected, state: adopt.StateRefused},
		{
			name: "higher with a bad digest", offers: []adopt.Offer[string]{good(3, 1), broken(good(4, 2))},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 4,
		},
		{
			name: "bad digest, then whole", offers: []adopt.Offer[string]{broken(good(4, 2)), good(4, 2)},
			last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 4,
		},
		{
			name: "can't be applied", offers: []adopt.Offer[string]{good(3, 1), faulty(good(4, 2))},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 4,
		},
		{
			name: "other digest in force", offers: []adopt.Offer[string]{good(3, 1), good(3, 2)},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 3,
		},
		{
			name: "other digest pending", offers: []adopt.Offer[string]{good(3, 1, notices), good(3, 2)},
			last: adopt.ResultRejected, state: adopt.StateWaiting, pending: 3, refused: 3,
		},
		{
			name: "newer replaces a waiting one", offers: []adopt.Offer[string]{good(3, 1, notices), good(4, 1)},
			last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 4,
		},
		{
			name: "a refusal leaves the waiting one", offers: []adopt.Offer[string]{good(3, 1, notices), faulty(good(4, 1))},
			last: adopt.ResultRejected, state: adopt.StateWaiting, pending: 3, refused: 4,
		},
		{
			name: "below the waiting one", offers: []adopt.Offer[string]{good(3, 1, notices), broken(good(2, 1))},
			last: adopt.ResultStale, state: adopt.StateWaiting, pending: 3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a adopt.Adopter[string]
			var last adopt.Outcome
			for _, o := range tt.offers {
				last = a.Offer(epoch, o)
			}
			status := a.Status()
			assert.Equal(t, last.Result, tt.last)
			assert.Equal(t, status.State, tt.state)
			assert.Equal(t, status.InForce, tt.inForce)
			assert.Equal(t, status.Pending, tt.pending)
			assert.Equal(t, status.Refused, tt.refused)
			assert.Equal(t, status.Reason != "", tt.refused != 0)
		})
	}
}

// naive is the rule without machine or memory of refusals.
type naive struct {
	inForce, pending adopt.Offer[string]
	known            map[mesh.ServiceID]bool
}

func (n *naive) offer(o adopt.Offer[string]) {
	if o.Version > max(n.inForce.Version, n.pending.Version) && o.ExpectedDigest == o.ActualDigest && o.InvalidReason == "" {
		n.pending = o
	}
	n.settle()
}

func (n *naive) settle() {
	for _, id := range n.pending.RequiredServices {
		if !n.known[id] {
			return
		}
	}
	if n.pending.Version != 0 {
		n.inForce, n.pending = n.pending, adopt.Offer[string]{}
	}
}

func TestAdopterAgreesWithNaiveRuleAndNeverFalls(t *testing.T) {
	services := []mesh.ServiceID{notices, archive}
	rapid.Check(t, func(rt *rapid.T) {
		var a adopt.Adopter[string]
		n := naive{known: map[mesh.ServiceID]bool{}}
		var last mesh.Version
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom(services).Draw(rt, "service")
			switch rapid.IntRange(0, 6).Draw(rt, "action") {
			case 0:
				n.known[id] = true
				n.settle()
				a.MarkKnown(epoch, []mesh.ServiceID{id})
			case 1:
				delete(n.known, id)
				a.MarkUnknown([]mesh.ServiceID{id})
			default:
				needs := services[:rapid.IntRange(0, 2).Draw(rt, "needs")]
				o := good(mesh.Version(rapid.IntRange(0, 9).Draw(rt, "version")), byte(rapid.IntRange(1, 2).Draw(rt, "root")), needs...)
				switch rapid.IntRange(0, 5).Draw(rt, "fault") {
				case 0:
					o = broken(o)
				case 1:
					o = faulty(o)
				}
				n.offer(o)
				a.Offer(epoch, o)
			}
			version, value, _ := a.InForce()
			if version < last {
				rt.Fatalf("version fell from %d to %d", last, version)
			}
			last = version
			assert.Equal(rt, version, n.inForce.Version)
			assert.Equal(rt, value, n.inForce.Value)
			assert.Equal(rt, a.Status().Pending, n.pending.Version)
		}
	})
}
