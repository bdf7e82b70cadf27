// Package script_test runs the scripts of testdata against the program, and checks
// that the page of settings is complete.
package script_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"arbutusstep.example/arbutusstep/internal/cmds"
)

const (
	// untilTimeout bounds how long the command until waits, and untilInterval is the
	// time between its attempts.
	untilTimeout  = 60 * time.Second
	untilInterval = 100 * time.Millisecond
	// maxParallelScripts bounds the scripts that run at once: each starts up to ten
	// processes.
	maxParallelScripts = 3
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"arbutusstep": func() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"caller":      func() { os.Exit(callerMain(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	var scriptCount atomic.Int32
	running := make(chan struct{}, maxParallelScripts)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) (err error) {
			running <- struct{}{}
			env.Defer(func() { <-running })
			// Each script gets its own loopback addresses, so that it can use the
			// documented ports without a clash with other scripts and processes.
			pid, scriptID := os.Getpid(), scriptCount.Add(1)
			for i := 1; i <= 9; i++ {
				env.Setenv(fmt.Sprintf("IP%d", i), fmt.Sprintf("127.%d.%d.%d", 1+pid%250, 1+pid/250%250, int(scriptID)*10+i))
			}
			env.Setenv("ARBUTUSSTEP_NODE", env.Getenv("IP1")+":8082")
			env.Setenv("USER", "ops")
			return copySample(env.WorkDir)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"settings": writeSettings,
			"status":   checkExitStatus,
			"term":     terminate,
			"until":    waitOutput,
		},
	})
}

// copySample copies the sample settings tree to the script's folder.
func copySample(folder string) (err error) {
	data, err := os.ReadFile(filepath.Join("..", "sheet", "samples", "trauerhaus.yaml"))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "trauerhaus.yaml"), data, 0o600)
}

// writeSettings implements the command settings HOST REGION ZONE IP PLATFORM, which
// writes the settings file of a node.
func writeSettings(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) != 5 {
		ts.Fatalf("usage: settings HOST REGION ZONE IP PLATFORM")
	}
	text := fmt.Sprintf(`host: %[1]s
region: %[2]s
zone: %[3]s
listen: {callers: "%[4]s:8080", nodes: "%[4]s:8081", admin: "%[4]s:8082"}
platform: %[5]s:8000
customer: trauerhaus
timing: {heartbeat: 200ms, lease: 2s, stop: 30s}
limits: {platformRate: 100, claimRate: 100}
`, args[0], args[1], args[2], args[3], args[4])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".yaml"), []byte(text), 0o600))
}

// waitOutput implements the command until PATTERN PROGRAM ARGS..., which repeats the
// program until its output matches.
func waitOutput(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: until PATTERN PROGRAM ARGS...")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	for deadline := time.Now().Add(untilTimeout); ; time.Sleep(untilInterval) {
		_ = ts.Exec(args[1], args[2:]...)
		output := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if pattern.MatchString(output) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no output of %s matched %q, last output:\n%s", strings.Join(args[1:], " "), args[0], output)
		}
	}
}

// checkExitStatus implements the command status NUMBER PROGRAM ARGS..., which runs
// the program and checks its exit status.
func checkExitStatus(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: status NUMBER PROGRAM ARGS...")
	}
	err := ts.Exec(args[1], args[2:]...)
	var exitErr *exec.ExitError
	code := 0
	if errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("%s exited with status %d, want %s", args[1], code, args[0])
	}
}

// terminate implements the command term TEXT, which sends SIGTERM to the background
// program whose command line contains the text.
func terminate(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) != 1 {
		ts.Fatalf("usage: term TEXT")
	}
	for _, c := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(c.Args, " "), args[0]) {
			ts.Check(c.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no background program has %q in its command line", args[0])
}
