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

// validOffer returns an offer that is not refused; its value is "VERSION/DIGEST".
func validOffer(version mesh.Version, digest byte, required ...mesh.ServiceID) adopt.Offer[string] {
	return adopt.Offer[string]{
		Version: version, ExpectedDigest: mesh.Digest{digest}, ActualDigest: mesh.Digest{digest},
		Value: fmt.Sprint(version, "/", digest), RequiredServices: required,
	}
}

func withWrongDigest(o adopt.Offer[string]) adopt.Offer[string] {
	o.ActualDigest = mesh.Digest{0xff}
	return o
}

func withInvalidReason(o adopt.Offer[string]) adopt.Offer[string] {
	o.InvalidReason = "route names no service"
	return o
}

func ExampleAdopter() {
	var a adopt.Adopter[string]
	fmt.Println(a.Offer(epoch, validOffer(7, 1, notices)).Result, a.Status().Missing)
	fmt.Println(a.MarkKnown(epoch, []mesh.ServiceID{notices}).Result)
	fmt.Println(a.Offer(epoch, validOffer(6, 2)).Result)
	fmt.Println(a.InForce())
	// Output:
	// waits [trauerhaus/notices]
	// applied
	// older
	// 7 7/1 true
}

func TestOfferOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		offers  []adopt.Offer[string]
		last    adopt.Result
		state   adopt.State
		inForce mesh.Version
		pending mesh.Version
		refused mesh.Version
	}{
		{name: "valid version", offers: []adopt.Offer[string]{validOffer(3, 1)}, last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 3},
		{name: "same version again", offers: []adopt.Offer[string]{validOffer(3, 1), validOffer(3, 1)}, last: adopt.ResultUnchanged, state: adopt.StateInForce, inForce: 3},
		{name: "lower version", offers: []adopt.Offer[string]{validOffer(3, 1), validOffer(2, 2)}, last: adopt.ResultStale, state: adopt.StateInForce, inForce: 3},
		{name: "version zero", offers: []adopt.Offer[string]{validOffer(0, 1)}, last: adopt.ResultRejected, state: adopt.StateRefused},
		{
			name: "higher version with a wrong digest", offers: []adopt.Offer[string]{validOffer(3, 1), withWrongDigest(validOffer(4, 2))},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 4,
		},
		{
			name: "wrong digest, then a valid offer", offers: []adopt.Offer[string]{withWrongDigest(validOffer(4, 2)), validOffer(4, 2)},
			last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 4,
		},
		{
			name: "invalid configuration", offers: []adopt.Offer[string]{validOffer(3, 1), withInvalidReason(validOffer(4, 2))},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 4,
		},
		{
			name: "other digest for the version in force", offers: []adopt.Offer[string]{validOffer(3, 1), validOffer(3, 2)},
			last: adopt.ResultRejected, state: adopt.StateRefused, inForce: 3, refused: 3,
		},
		{
			name: "other digest for the pending version", offers: []adopt.Offer[string]{validOffer(3, 1, notices), validOffer(3, 2)},
			last: adopt.ResultRejected, state: adopt.StateWaiting, pending: 3, refused: 3,
		},
		{
			name: "higher version replaces a waiting one", offers: []adopt.Offer[string]{validOffer(3, 1, notices), validOffer(4, 1)},
			last: adopt.ResultApplied, state: adopt.StateInForce, inForce: 4,
		},
		{
			name: "refusal keeps the waiting version", offers: []adopt.Offer[string]{validOffer(3, 1, notices), withInvalidReason(validOffer(4, 1))},
			last: adopt.ResultRejected, state: adopt.StateWaiting, pending: 3, refused: 4,
		},
		{
			name: "lower than the waiting version", offers: []adopt.Offer[string]{validOffer(3, 1, notices), withWrongDigest(validOffer(2, 1))},
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

// referenceAdopter is a simple model of an Adopter, without a state machine and
// without a record of refusals.
type referenceAdopter struct {
	inForce, pending adopt.Offer[string]
	known            map[mesh.ServiceID]bool
}

func (r *referenceAdopter) offer(o adopt.Offer[string]) {
	if o.Version > max(r.inForce.Version, r.pending.Version) && o.ExpectedDigest == o.ActualDigest && o.InvalidReason == "" {
		r.pending = o
	}
	r.apply()
}

func (r *referenceAdopter) apply() {
	for _, id := range r.pending.RequiredServices {
		if !r.known[id] {
			return
		}
	}
	if r.pending.Version != 0 {
		r.inForce, r.pending = r.pending, adopt.Offer[string]{}
	}
}

func TestAdopterMatchesReferenceAndVersionNeverDecreases(t *testing.T) {
	services := []mesh.ServiceID{notices, archive}
	rapid.Check(t, func(rt *rapid.T) {
		var a adopt.Adopter[string]
		reference := referenceAdopter{known: map[mesh.ServiceID]bool{}}
		var last mesh.Version
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := rapid.SampledFrom(services).Draw(rt, "service")
			switch rapid.IntRange(0, 6).Draw(rt, "action") {
			case 0:
				reference.known[id] = true
				reference.apply()
				a.MarkKnown(epoch, []mesh.ServiceID{id})
			case 1:
				delete(reference.known, id)
				a.MarkUnknown([]mesh.ServiceID{id})
			default:
				required := services[:rapid.IntRange(0, 2).Draw(rt, "needs")]
				o := validOffer(mesh.Version(rapid.IntRange(0, 9).Draw(rt, "version")), byte(rapid.IntRange(1, 2).Draw(rt, "root")), required...)
				switch rapid.IntRange(0, 5).Draw(rt, "fault") {
				case 0:
					o = withWrongDigest(o)
				case 1:
					o = withInvalidReason(o)
				}
				reference.offer(o)
				a.Offer(epoch, o)
			}
			version, value, _ := a.InForce()
			if version < last {
				rt.Fatalf("version decreased from %d to %d", last, version)
			}
			last = version
			assert.Equal(rt, version, reference.inForce.Version)
			assert.Equal(rt, value, reference.inForce.Value)
			assert.Equal(rt, a.Status().Pending, reference.pending.Version)
		}
	})
}
