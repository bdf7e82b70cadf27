package proxy

import (
	"arbutusstep.example/arbutusstep/internal/delta"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// Rollouts is the data format of the orders to move services to other releases. The zero
// Rollouts means that the platform has none.
type Rollouts struct {
	// Kind is the kind of the objects.
	Kind         string
	EncodeStatus func(status shift.Status) ([]byte, error)
	// Decode decodes an object. The first error is about its status only.
	Decode func(name string, value []byte) (shift.Object, error, error)
}

// codec encodes and decodes documents and records.
type codec struct {
	decodePlan    func(data []byte) (*plan.Plan, error)
	decodeRollout func(name string, data []byte) (shift.Object, error, error)
}

// DecodePlan implements ctrl.Codec.
func (c codec) DecodePlan(data []byte) (*plan.Plan, error) { return c.decodePlan(data) }

// DecodeNode implements ctrl.Codec.
func (c codec) DecodeNode(data []byte) (fleet.Node, error) { return sheet.DecodeNode(data) }

// DecodeRollout implements ctrl.Codec.
func (c codec) DecodeRollout(name string, data []byte) (object shift.Object, statusErr, err error) {
	return c.decodeRollout(name, data)
}

// Compress implements ctrl.Codec.
func (c codec) Compress(data, base []byte) ([]byte, error) { return delta.Compress(data, base) }

// Decompress implements ctrl.Codec.
func (c codec) Decompress(packed, base []byte) ([]byte, error) { return delta.Decompress(packed, base) }
