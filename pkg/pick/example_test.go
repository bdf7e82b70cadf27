package pick_test

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

func ExamplePicker() {
	home := mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	near := mesh.Place{Region: "ch-west", Zone: "gva-b"}
	set := pick.NewCandidateSet(mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}, []pick.Candidate{
		{Host: "h1", Place: home, Slots: 9},
		{Host: "h2", Place: near, Slots: 9},
	})
	var (
		picker pick.Picker
		now    = time.Now()
	)
	candidate, err := picker.Pick(now, pick.Request{Set: set, From: home})
	fmt.Println(candidate.Host, err)
	attempt := picker.Begin(now, candidate.Host)
	attempt.End(now.Add(time.Millisecond), pick.Outcome{Failed: true})
	candidate, err = picker.Pick(now, pick.Request{Set: set, From: home, Tried: []mesh.HostID{"h1"}})
	fmt.Println(candidate.Host, err)
	// Output:
	// h1 <nil>
	// h2 <nil>
}
