package cmds

import (
	"flag"
	"os"

	"chervilgauge.example/chervilgauge/internal/watch/joblog"
)

// runExplain prints the log lines of entries about a job in order of time, and the last one of
// them again.
func runExplain(e *env, fs *flag.FlagSet, args []string) error {
	if err := fs.Parse(args); err != nil {
		return errUsage.Wrap(err)
	}
	if fs.NArg() < 2 {
		return errUsage.New("the id of a job and at least one file are needed")
	}
	var all []joblog.Line
	for _, name := range fs.Args()[1:] {
		ls, err := readLog(name, fs.Arg(0))
		if err != nil {
			return err
		}
		all = append(all, ls...)
	}
	if len(all) == 0 {
		return errFailed.New("no line is about %s", fs.Arg(0))
	}
	joblog.Sort(all)
	for _, l := range all {
		printf(e.out, "%s\n", l)
	}
	printf(e.out, "\nlast: %s\n", all[len(all)-1])
	return nil
}

// readLog returns the lines of a file about a job. It returns an errFailed or a joblog.Err.
func readLog(name, job string) (ls []joblog.Line, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errFailed.Wrap(err)
	}
	defer func() {
		if e := f.Close(); err == nil && e != nil {
			err = errFailed.Wrap(e)
		}
	}()
	return joblog.Find(f, job)
}
