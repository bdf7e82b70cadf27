package grants

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

func encodeAsks(asks []tokens.Ask) *wire.QuotaRequest {
	items := make([]*wire.QuotaItem, 0, len(asks))
	for _, a := range asks {
		items = append(items, &wire.QuotaItem{Account: string(a.Account), Needed: encodeCount(a.Needed), Extra: encodeCount(a.Extra), Returned: encodeCount(a.Returned)})
	}
	return &wire.QuotaRequest{Items: items}
}

func decodeAsks(request *wire.QuotaRequest) []tokens.Ask {
	asks := make([]tokens.Ask, 0, len(request.GetItems()))
	for _, i := range request.GetItems() {
		asks = append(asks, tokens.Ask{Account: mesh.Account(i.GetAccount()), Needed: int(i.GetNeeded()), Extra: int(i.GetExtra()), Returned: int(i.GetReturned())}.Bounded())
	}
	return asks
}

func encodeGrants(grants []tokens.Grant) *wire.QuotaGrant {
	items := make([]*wire.QuotaGrantItem, 0, len(grants))
	for _, g := range grants {
		items = append(items, &wire.QuotaGrantItem{
			Account: string(g.Account), Tokens: encodeCount(g.Tokens), WaitMicros: g.Wait.Microseconds(), RetryAfterMicros: g.RetryAfter.Microseconds(),
		})
	}
	return &wire.QuotaGrant{Items: items}
}

func decodeGrants(grant *wire.QuotaGrant) []tokens.Grant {
	grants := make([]tokens.Grant, 0, len(grant.GetItems()))
	for _, i := range grant.GetItems() {
		grants = append(grants, tokens.Grant{
			Account: mesh.Account(i.GetAccount()), Tokens: min(int(i.GetTokens()), tokens.MaxCount),
			Wait: decodeMicros(i.GetWaitMicros()), RetryAfter: decodeMicros(i.GetRetryAfterMicros()),
		})
	}
	return grants
}

func encodeCount(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}

// decodeMicros decodes a duration of another node, which must not be negative or overflow.
func decodeMicros(n int64) time.Duration {
	return time.Duration(min(max(n, 0), int64(time.Hour/time.Microsecond))) * time.Microsecond
}
