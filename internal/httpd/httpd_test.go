package httpd_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/httpd"
)

// get sends a request over a new connection, which stays open.
func get(url string) (body string, err error) {
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

func TestStopClosesIdleConnectionsAndWaitsForRequests(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	httpServer, err := httpd.Start(netip.MustParseAddrPort("127.0.0.1:0"), func(engine *server.Hertz) {
		engine.GET("/quick", func(_ context.Context, c *app.RequestContext) { c.SetBodyString("quick") })
		engine.GET("/slow", func(_ context.Context, c *app.RequestContext) {
			close(started)
			<-finish
			c.SetBodyString("slow")
		})
	})
	assert.NilError(t, err)
	url := "http://" + httpServer.Addr().String()
	// This client keeps its connection open and idle.
	_, err = get(url + "/quick")
	assert.NilError(t, err)
	bodies := make(chan string, 1)
	go func() {
		body, _ := get(url + "/slow")
		bodies <- body
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- httpServer.Stop(t.Context()) }()
	select {
	case err = <-stopped:
		t.Fatalf("Stop returned %v while a request was in progress", err)
	case finish <- struct{}{}:
	}
	assert.Equal(t, <-bodies, "slow")
	assert.NilError(t, <-stopped)
}
