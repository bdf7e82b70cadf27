package objapi

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestValidateKey(t *testing.T) {
	tests := []struct {
		name, key string
		valid     bool
	}{
		{name: "segments", key: "config/chunks/0a.b_c:d-e", valid: true},
		{name: "empty"},
		{name: "leading slash", key: "/a"},
		{name: "trailing slash", key: "a/"},
		{name: "empty segment", key: "a//b"},
		{name: "parent", key: "a/../b"},
		{name: "space", key: "a b"},
		{name: "too long", key: string(make([]byte, MaxKeyLength+1))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, validateKey(tt.key) == nil, tt.valid)
		})
	}
}

func TestCallRatesAreAveraged(t *testing.T) {
	var stats callStats
	begin := time.Unix(1000, 0)
	for i := range 20 {
		stats.add(kindGet, begin.Add(time.Duration(i)*time.Second/4))
	}
	got := stats.snapshot(begin.Add(5 * time.Second))
	assert.DeepEqual(t, got.Get, CallCount{Total: 20, PerSecond: 2, Peak: 4})
	got = stats.snapshot(begin.Add(time.Hour))
	assert.DeepEqual(t, got.Reads, CallCount{Total: 20, Peak: 4})
}

func FuzzDecodeWrite(f *testing.F) {
	for _, s := range []string{`{"value":"eA=="}`, `{"value":"","version":3}`, `{"value":null}`, `{}{}`, `[`} {
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, body []byte, update bool) {
		value, version, err := decodeWrite(body, update)
		if err != nil {
			return
		}
		assert.Equal(t, version != 0, update)
		assert.Assert(t, len(value) <= MaxValueSize)
		assert.Assert(t, json.Valid(body))
	})
}

func FuzzDecodeFaults(f *testing.F) {
	for _, s := range []string{`{"latency":"1s","down":"drop"}`, `{"loseAnswers":-1}`, `{"watchDelay":5}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		faults, err := decodeFaults(body)
		if err != nil {
			return
		}
		text, err := json.Marshal(encodeFaults(faults))
		assert.NilError(t, err)
		again, err := decodeFaults(text)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, faults)
	})
}

func FuzzDecodeQuery(f *testing.F) {
	f.Add("1", "20s", "a/b")
	f.Add("-1", "1h", "..")
	f.Fuzz(func(t *testing.T, from, wait, key string) {
		_, _ = decodeVersion(from)
		if got, err := decodeWait(wait); err == nil {
			assert.Assert(t, got >= 0 && got <= MaxWatchWait)
		}
		if validateKey(key) == nil {
			assert.NilError(t, validatePrefix(key))
		}
	})
}
