// Package cmds implements the commands of the chervilgauge program.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/zeebo/errs"
)

// Exit codes.
const (
	exitOK = iota
	// exitFailed is the code of a command that ran and failed.
	exitFailed
	// exitUsage is the code of an invalid command line.
	exitUsage
	// exitRefused is the code of a change that the system refused.
	exitRefused
)

// errUsage is the class of invalid command lines.
var errUsage = errs.Class("usage")

// errFailed is the class of commands that ran and failed.
var errFailed = errs.Class("failed")

// env holds the context and the outputs of a command.
type env struct {
	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// command is one sub-command.
type command struct {
	name string
	args string
	help string
	run  func(e *env, fs *flag.FlagSet, args []string) error
}

// commands returns all sub-commands in the order of the usage text.
func commands() []command {
	return []command{
		{"agent", "", "run an entry on the operators' platform, with the settings that it hands over", runAgent},
		{"serve", "FILE", "run an entry instance with the settings in FILE", runServe},
		{"check", "FILE", "check a settings file", runCheck},
		{"pool", "put|delete NAME", "change a pool", runPool},
		{"service", "put|delete NAME", "change a service", runService},
		{"team", "put|delete NAME", "change a team", runTeam},
		{"instance", "put|delete|drain|move|cancel NAME", "change, drain or move an instance", runInstance},
		{"wave", "start|halt|resume|rollon|finish NAME", "order a maintenance wave", runWave},
		{"job", "submit|cancel NAME", "submit or cancel a job", runJob},
		{"entry", "remove NAME", "remove an entry that has ended and that no majority is left to evict", runEntry},
		{"config", "wait VERSION", "wait until a change is in force on every entry", runConfig},
		{"status", "", "show the state of the fleet", runStatus},
		{"accounts", "ADDR", "show the client accounts, from the metrics address of the entry that leads", runAccounts},
		{"explain", "ID FILE...", "show what the logs of entries say about a job", runExplain},
		{"demo", "", "run entries, fakes and traffic in one process and report", runDemo},
		{"load", "", "send open-loop load to an entry or an endpoint", runLoad},
		{"soak", "", "run entries as processes, inject faults at random and check what callers see", runSoak},
		{"standin", "all|log|list|endpoint", "run a fake of the platform or of an endpoint", runStandin},
	}
}

// Main runs the command that the first argument names and returns the exit code. SIGINT and
// SIGTERM cancel the context of the command.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := &env{ctx: ctx, out: out, errOut: errOut}
	if len(args) == 0 || args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printUsage(errOut)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return e.run(c, args[1:])
		}
	}
	printf(errOut, "chervilgauge: unknown command %q\n", args[0])
	printUsage(errOut)
	return exitUsage
}

func (e *env) run(c command, args []string) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(e.errOut)
	fs.Usage = func() {
		printf(e.errOut, "usage: chervilgauge %s [flags] %s\n\n%s\n\n", c.name, c.args, c.help)
		fs.PrintDefaults()
	}
	err := c.run(e, fs, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	printf(e.errOut, "chervilgauge %s: %v\n", c.name, err)
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var refused *refusedError
	switch {
	case errUsage.Has(err):
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	}
	return exitFailed
}

func printUsage(w io.Writer) {
	printf(w, "usage: chervilgauge COMMAND [flags] [arguments]\n\ncommands:\n")
	for _, c := range commands() {
		printf(w, "  %-9s %-38s %s\n", c.name, c.args, c.help)
	}
	printf(w, "\n'chervilgauge COMMAND -h' shows the flags of a command.\n")
}

// printf writes to the terminal. It ignores errors, because they can't be reported anywhere.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// parse parses flags, which may be before, between or after the arguments, and returns the
// arguments. It returns an errUsage unless their number is want, or flag.ErrHelp.
func parse(fs *flag.FlagSet, args []string, want int) ([]string, error) {
	var rest []string
	for {
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, errUsage.Wrap(err)
		}
		if fs.NArg() == 0 {
			break
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(rest) != want {
		fs.Usage()
		return nil, errUsage.New("expected %d arguments, got %d", want, len(rest))
	}
	return rest, nil
}
