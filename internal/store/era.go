package store

import (
	"context"
	"fmt"
	"net/http"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

type eraKey struct{}

// WithEra returns a context whose calls rest on what was read in the era: the version that
// a write expects, or the revision that a watch starts from. They fail with ErrNewEra if
// the store was restored since, in which case versions and revisions of the era may have
// been given out again. Such a call is not sent if the client knows the new era already.
// A call that succeeds was answered in the era.
func WithEra(ctx context.Context, era uint64) context.Context {
	return context.WithValue(ctx, eraKey{}, era)
}

// Time returns the logical time of the last write to the object. It is also the object's
// fence: whoever holds a lease by an object must compare both parts of it, because a
// restored store gives out the same version to another holder. The write that renews the
// lease takes the version as an argument and the era by WithEra.
func (o Object) Time() mesh.StoreTime {
	return mesh.StoreTime{Era: o.Era, Revision: o.Version}
}

// Era returns the highest era of the store that a response had; zero if none had one.
func (c *Client) Era() uint64 {
	return c.era.Load()
}

// checkUnsent returns an error for a call that must not be sent because the era that it
// rests on has ended.
func (c *Client) checkUnsent(ctx context.Context) (err error) {
	if wanted, found := ctx.Value(eraKey{}).(uint64); found && c.Era() > wanted {
		return fmt.Errorf("%w: not sent, the call rests on era %d and the store is in era %d", ErrNewEra, wanted, c.Era())
	}
	return nil
}

// noteEra records the era of a response. It returns an error if the response is of an era
// that has ended, or the call rests on one.
func (c *Client) noteEra(ctx context.Context, op operation, response *http.Response) (era uint64, err error) {
	era = c.options.Codec.DecodeEra(response.Header)
	current := c.Era()
	for era > current && !c.era.CompareAndSwap(current, era) {
		current = c.Era()
	}
	wanted, found := ctx.Value(eraKey{}).(uint64)
	if era >= current && (!found || era <= wanted) {
		return era, nil
	}
	err = fmt.Errorf("%w: response of era %d, the call rests on era %d and the store is in era %d", ErrNewEra, era, wanted, c.Era())
	if op.isWrite() && succeeded(response.StatusCode) {
		// Another object may have got the expected version, or the write may be lost.
		err = fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return era, err
}
