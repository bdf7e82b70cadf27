package sizing

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// stopTimeout bounds the graceful stop of processes.
const stopTimeout = 15 * time.Second

// process is a running process of the built program.
type process struct {
	command *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	log  *os.File
}

// startProcess starts the program with its output appended to the log file.
func startProcess(binary, logFile string, args ...string) (p *process, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start %s %v: %w", binary, args, err)
		}
	}()
	p = &process{command: exec.Command(binary, args...), done: make(chan struct{})}
	if p.log, err = os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	// If the measurement is killed, its processes must not disturb the next one.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = p.command.Start(); err != nil {
		return nil, errors.Join(err, p.log.Close())
	}
	go func() {
		// The log shows why a process exited.
		_ = p.command.Wait()
		_ = p.log.Close()
		close(p.done)
	}()
	return p, nil
}

func (p *process) usage() (usage, error) {
	return readUsage(p.command.Process.Pid)
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// stop sends SIGTERM, and kills the process if it has not exited when the context
// ends.
func (p *process) stop(ctx context.Context) {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-ctx.Done():
		p.kill()
	}
}
