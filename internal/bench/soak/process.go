package soak

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"

	"chervilgauge.example/chervilgauge/platform"
)

// process is a running entry.
type process interface {
	fmt.Stringer
	// pause suspends the process or lets it run.
	pause(on bool)
	// stop asks the process to end, and kill ends it at once. They don't wait.
	stop()
	kill()
	// wait waits for the end of the process, and returns its error.
	wait() error
}

// command is a process of the operating system.
type command struct{ *exec.Cmd }

// launchCommand starts the program of a run as an entry. It returns an Err.
func launchCommand(e *entry) (process, error) {
	log, err := os.OpenFile(e.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(e.program, "agent")
	cmd.Env = append(os.Environ(), platform.SettingsVar(e.file), "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	// A terminal's interrupt reaches only this process, which then ends the entries.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return command{cmd}, Err.Wrap(cmd.Start())
}

func (c command) String() string { return fmt.Sprint("process ", c.Process.Pid) }

// signal sends a signal. A process that has ended needs none.
func (c command) signal(s syscall.Signal) { _ = c.Process.Signal(s) }

func (c command) pause(on bool) {
	if on {
		c.signal(syscall.SIGSTOP)
		return
	}
	c.signal(syscall.SIGCONT)
}

func (c command) stop()       { c.signal(syscall.SIGTERM) }
func (c command) kill()       { c.signal(syscall.SIGKILL) }
func (c command) wait() error { return c.Wait() }
