package once_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
)

func TestCacheEvictsTheOldestResponses(t *testing.T) {
	type put struct {
		key  byte
		size int
		kept bool
	}
	tests := []struct {
		name   string
		puts   []put
		after  time.Duration
		cached []byte
		bytes  int
	}{
		{
			name: "all fit", puts: []put{{key: 1, size: 4, kept: true}, {key: 2, size: 6, kept: true}},
			cached: []byte{1, 2}, bytes: 10,
		},
		{
			name: "the oldest is evicted", puts: []put{{1, 4, true}, {2, 4, true}, {3, 4, true}},
			cached: []byte{2, 3}, bytes: 8,
		},
		{name: "too large to cache", puts: []put{{1, 4, true}, {2, 11, false}}, cached: []byte{1}, bytes: 4},
		{name: "a second response replaces the first", puts: []put{{1, 4, true}, {1, 9, true}}, cached: []byte{1}, bytes: 9},
		{name: "expired", puts: []put{{1, 4, true}}, after: window, bytes: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := once.ResponseCache[string]{MaxBytes: 10}
			for _, p := range tt.puts {
				assert.Equal(t, m.Put(once.KeyHash{p.key}, "x", p.size, epoch.Add(window)), p.kept)
			}
			now := epoch.Add(tt.after)
			m.EvictExpired(now)
			for _, k := range tt.cached {
				_, ok := m.Get(now, once.KeyHash{k})
				assert.Assert(t, ok, "key %d", k)
			}
			assert.Equal(t, m.Len(), len(tt.cached))
			assert.Equal(t, m.Bytes(), tt.bytes)
		})
	}
}

func TestInMemoryOwnerIsInDoubtAboutKeysItDidNotReceive(t *testing.T) {
	key, other := once.HashKey(service, "a"), once.HashKey(service, "b")
	withClaims := once.Snapshot[string]{Claims: once.Claims{Entries: []once.Claim{{Key: key, Remaining: window}}}}
	withResponses := withClaims
	withResponses.Responses = []once.CachedResponse[string]{{Key: key, Response: "response", Size: 6}, {Key: other, Response: "not claimed", Size: 11}}
	tests := []struct {
		name     string
		inDoubt  bool
		snapshot *once.Snapshot[string]
		after    time.Duration
		want     [2]once.Kind
	}{
		{name: "first owner", want: [2]once.Kind{once.Run, once.Run}},
		{name: "succeeds a lost owner", inDoubt: true, want: [2]once.Kind{once.InDoubt, once.InDoubt}},
		{name: "after the window", inDoubt: true, after: window, want: [2]once.Kind{once.Run, once.Run}},
		{name: "received the claims", inDoubt: true, snapshot: &withClaims, want: [2]once.Kind{once.InDoubt, once.Run}},
		{name: "received the response", inDoubt: true, snapshot: &withResponses, want: [2]once.Kind{once.Replay, once.Run}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := once.KeyTable[string]{InMemory: true, Responses: &once.ResponseCache[string]{}}
			if tt.inDoubt {
				table.ExtendInDoubt(epoch, window)
			}
			if tt.snapshot != nil {
				table.Import(epoch, *tt.snapshot)
			}
			now := epoch.Add(tt.after)
			assert.Equal(t, table.Begin(now, key, once.Token{1}, window).Kind, tt.want[0])
			assert.Equal(t, table.Begin(now, other, once.Token{2}, window).Kind, tt.want[1])
			assert.Equal(t, table.NextAction(now), once.Pause{})
		})
	}
}

func TestSuccessiveInMemoryOwnersGrantAKeyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := epoch
		until := map[once.KeyHash]time.Time{}
		table := &once.KeyTable[string]{InMemory: true}
		for i := range rapid.IntRange(0, 60).Draw(rt, "steps") {
			key, token := once.KeyHash{byte(rapid.IntRange(0, 2).Draw(rt, "key"))}, once.TokenOf(fmt.Sprint(i))
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				table = &once.KeyTable[string]{InMemory: true}
				table.ExtendInDoubt(now, window)
			case 1:
				next := &once.KeyTable[string]{InMemory: true}
				next.ExtendInDoubt(now, window)
				next.Import(now, table.Export(now))
				table = next
			case 2, 3:
				now = now.Add(time.Duration(rapid.IntRange(0, int(window)).Draw(rt, "pause")))
			default:
				if d := table.Begin(now, key, token, window); d.Kind == once.Run {
					assert.Assert(rt, !now.Before(until[key]), "granted again")
					until[key] = d.Until
					switch rapid.IntRange(0, 3).Draw(rt, "end") {
					case 0:
						table.Complete(key, token, "response", 6)
					case 1:
						table.MarkInDoubt(key, token)
					case 2:
						table.Release(key, token)
						delete(until, key)
					}
				}
			}
		}
	})
}

func TestShardsMoveOnlyWhenHostsChange(t *testing.T) {
	five := []mesh.HostID{"h1", "h2", "h3", "h4", "h5"}
	tests := []struct {
		name          string
		self          mesh.HostID
		before, after []mesh.HostID
		atLeast       int
	}{
		{name: "startup gains all owned shards", self: "h1", after: five, atLeast: 1},
		{name: "nothing changed", self: "h1", before: five, after: five},
		{name: "a host is lost", self: "h1", before: five, after: five[:2], atLeast: 1},
		{name: "a host joins", self: "h1", before: five[:4], after: five},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gained := once.GainedShards(service, tt.self, tt.before, tt.after)
			assert.Assert(t, len(gained) >= tt.atLeast)
			if tt.atLeast == 0 {
				assert.Equal(t, len(gained), 0)
			}
		})
	}
}

func TestValidateRejectsMalformedClaims(t *testing.T) {
	tests := []struct {
		name   string
		claims once.Claims
		bad    bool
	}{
		{name: "empty"},
		{name: "sorted", claims: once.Claims{Entries: []once.Claim{{Key: once.KeyHash{1}, Remaining: 1}, {Key: once.KeyHash{2}, Remaining: 1}}}},
		{name: "repeated", claims: once.Claims{Entries: []once.Claim{{Remaining: 1}, {Remaining: 1}}}, bad: true},
		{name: "no time remaining", claims: once.Claims{Entries: []once.Claim{{}}}, bad: true},
		{name: "too many", claims: once.Claims{Entries: make([]once.Claim, 2*once.MaxClaims+1)}, bad: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.claims.Validate()
			if tt.bad {
				assert.ErrorIs(t, err, once.ErrMalformedClaims)
				return
			}
			assert.NilError(t, err)
		})
	}
}

func TestFullTableClaimsNoFurtherKey(t *testing.T) {
	table := once.KeyTable[string]{MaxKeys: 2}
	for i, want := range []once.Kind{once.ClaimPending, once.ClaimPending, once.Full} {
		assert.Equal(t, table.Begin(epoch, once.KeyHash{byte(i)}, once.Token{byte(i)}, window).Kind, want)
	}
}

func TestRequestRunningPastItsWindowKeepsAnotherOwnersClaim(t *testing.T) {
	key, first, second := once.KeyHash{1}, once.Token{1}, once.Token{2}
	tests := []struct {
		name string
		end  func(table *once.KeyTable[string])
	}{
		{name: "completed", end: func(table *once.KeyTable[string]) { table.Complete(key, first, "response", 6) }},
		{name: "no response", end: func(table *once.KeyTable[string]) { table.MarkInDoubt(key, first) }},
		{name: "not forwarded", end: func(table *once.KeyTable[string]) { table.Release(key, first) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table once.KeyTable[string]
			table.Begin(epoch, key, first, window)
			table.NextAction(epoch)
			table.HandleRead(epoch, 0, once.Claims{})
			table.NextAction(epoch)
			assert.Equal(t, table.HandleWrite(epoch, once.Applied, 1)[0].Kind, once.Run)
			now := epoch.Add(2 * window)
			table.HandleRead(now, 2, once.Claims{Entries: []once.Claim{{Key: key, Token: second, Remaining: window}}})
			tt.end(&table)
			assert.Equal(t, table.Begin(now, key, once.Token{3}, window).Kind, once.InDoubt)
			table.Begin(now, once.KeyHash{2}, once.Token{4}, window)
			write, _ := table.NextAction(now).(once.WriteObject)
			stored, ok := write.Claims.Find(key)
			assert.Assert(t, ok && stored.Token == second && stored.Remaining == window)
		})
	}
}

func TestReadsAndWritesBackOffDuringAnOutage(t *testing.T) {
	tests := []struct {
		name   string
		loaded bool
	}{
		{name: "reads"},
		{name: "writes", loaded: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table once.KeyTable[string]
			table.Begin(epoch, once.KeyHash{1}, once.Token{1}, window)
			if tt.loaded {
				table.NextAction(epoch)
				table.HandleRead(epoch, 0, once.Claims{})
			}
			calls := 0
			for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
				now := epoch.Add(at)
				switch table.NextAction(now).(type) {
				case once.ReadObject:
					table.HandleReadError(now)
					calls++
				case once.WriteObject:
					table.HandleWrite(now, once.Failed, 0)
					calls++
				}
			}
			assert.Assert(t, calls > 15 && calls < 30, "%d reads and writes in a minute", calls)
		})
	}
}

func BenchmarkWriteFullShard(b *testing.B) {
	table := once.KeyTable[string]{}
	now := epoch
	for i := range once.MaxClaims - 1 {
		table.Begin(now, once.HashKey(service, fmt.Sprint(i)), once.TokenOf(fmt.Sprint(i)), window)
	}
	table.NextAction(now)
	table.HandleRead(now, 0, once.Claims{})
	key, token := once.HashKey(service, "last"), once.TokenOf("last")
	var version uint64
	for b.Loop() {
		now = now.Add(time.Minute / 2)
		table.Begin(now, key, token, time.Second)
		if _, ok := table.NextAction(now).(once.WriteObject); !ok {
			b.Fatal("no write")
		}
		version++
		table.HandleWrite(now, once.Applied, version)
		table.MarkInDoubt(key, token)
	}
}

func BenchmarkKeyTableMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := once.KeyTable[string]{}
		for i := range once.MaxClaims {
			table.Begin(epoch, once.KeyHash{byte(i), byte(i >> 8)}, once.Token{}, window)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/key")
		runtime.KeepAlive(&table)
	}
}

func BenchmarkOwner(b *testing.B) {
	hosts := []mesh.HostID{"h1", "h2", "h3", "h4", "h5", "h6", "h7"}
	for b.Loop() {
		once.Owner(service, 7, hosts)
	}
}
