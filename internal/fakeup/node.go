package fakeup

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// renewShare is the part of the node's time after which to renew.
	renewShare = 3
	// announceRetry is the wait after an announcement that failed.
	announceRetry = 250 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	maxNodeAnswer   = 64 << 10
)

// node keeps the upstream announced at its host's node.
type node struct {
	// transport is separate, so that no connection outlives the upstream.
	transport http.Transport

	mutex sync.Mutex
	// cancel ends the renewals; nil while there are none. Guarded by mutex.
	cancel context.CancelFunc
	// ended is closed when the renewals have ended; guarded by mutex.
	ended chan struct{}
}

// start announces the upstream, and again in time, until stop.
func (n *node) start(group *sync.WaitGroup, options Options, address netip.AddrPort) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.mutex.Lock()
	n.cancel, n.ended = cancel, ended
	n.mutex.Unlock()
	group.Go(func() {
		defer close(ended)
		for {
			wait, err := n.announce(ctx, options, address)
			if err != nil {
				wait = announceRetry
			}
			if pause.For(ctx, wait) != nil {
				return
			}
		}
	})
}

// stop ends the renewals and waits for the one underway.
func (n *node) stop() {
	n.mutex.Lock()
	cancel, ended := n.cancel, n.ended
	n.cancel = nil
	n.mutex.Unlock()
	if cancel != nil {
		cancel()
		<-ended
	}
}

func (n *node) close() {
	n.transport.CloseIdleConnections()
}

// announce announces the upstream once and returns when to renew it.
func (n *node) announce(ctx context.Context, options Options, address netip.AddrPort) (wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Customer    mesh.Customer  `json:"customer"`
		Service     mesh.Service   `json:"service"`
		Address     netip.AddrPort `json:"address"`
		Slots       int            `json:"slots"`
		Connections int            `json:"connections"`
	}{options.Customer, options.Service, address, options.Slots, options.MaxConnections})
	if err != nil {
		return 0, err
	}
	var answer struct {
		RenewWithin string `json:"renewWithin"`
	}
	data, err := n.exchange(ctx, options.Node, http.MethodPut, "/v1/upstream", body)
	if err != nil {
		return 0, err
	}
	if err = json.Unmarshal(data, &answer); err != nil {
		return 0, err
	}
	within, err := time.ParseDuration(answer.RenewWithin)
	if err == nil && within <= 0 {
		err = fmt.Errorf("renewWithin is %v", within)
	}
	return within / renewShare, err
}

// send makes a call to the node whose answer has no body of interest.
func (n *node) send(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (err error) {
	_, err = n.exchange(ctx, address, method, path, body)
	return err
}

func (n *node) exchange(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (data []byte, err error) {
	defer annotate(&err, method+" "+path)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := n.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxNodeAnswer)); err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return data, nil
}
