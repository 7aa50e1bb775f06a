package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"
)

// maxStatus bounds the answer to a request for the status, in bytes: some 300 bytes for each account, and names of any length.
const maxStatus = 16 << 20

// amount is an amount in the status, in thousandths of a core, MiB and accelerators.
type amount struct{ Cores, Memory, Accelerators int64 }

func (a amount) String() string {
	return fmt.Sprintf("%.1f/%d/%d", float64(a.Cores)/1000, a.Memory, a.Accelerators)
}

// account is a client account in the status.
type account struct {
	Name    string
	Running struct {
		amount
		Tasks int
	}
	Waiting struct{ Tasks, Blocked, Jobs int }
	Refused struct{ Limit, Share int64 }
	Limit   amount
	Weight  float64
	Share   float64
	Above   bool
	Keys    int
	Since   int64
}

func runAccounts(e *env, fs *flag.FlagSet, args []string) error {
	asJSON := fs.Bool("json", false, "print JSON")
	timeout := fs.Duration("timeout", 5*time.Second, "how long the answer may take")
	rest, err := parse(fs, args, 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, *timeout)
	defer cancel()
	raw, err := getStatus(ctx, rest[0])
	if err != nil {
		return err
	}
	var status struct {
		Entry, Leader, Address string
		Leads                  bool
		Accounts               []account
	}
	if err := json.Unmarshal(raw, &status); err != nil {
		return errFailed.New("%s does not answer with a status: %v", rest[0], err)
	}
	if *asJSON {
		printf(e.out, "%s", raw)
	}
	switch {
	case !status.Leads && status.Leader == "":
		return errFailed.New("%s does not lead, and knows no entry that does; ask another one", status.Entry)
	case !status.Leads:
		return errFailed.New("%s does not lead; ask %s (%s) on its metrics port", status.Entry, status.Leader, status.Address)
	case *asJSON:
		return nil
	}
	return printAccounts(e, status.Accounts)
}

// getStatus requests the status of an entry. It returns an errFailed.
func getStatus(ctx context.Context, addr string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return nil, errUsage.New("%q is not an address", addr)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errFailed.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxStatus))
	if err != nil {
		return nil, errFailed.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errFailed.New("%s answers with %s: %.200s", addr, resp.Status, raw)
	}
	return raw, nil
}

// printAccounts prints accounts in columns.
func printAccounts(e *env, accounts []account) error {
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	printf(w, "ACCOUNT\tRUNNING\tLIMIT\tTASKS\tWAITING\tBLOCKED\tREFUSED\tWEIGHT\tSHARE\tKEYS\tSINCE\n")
	for _, a := range accounts {
		limit := "none"
		if a.Limit != (amount{}) {
			limit = a.Limit.String()
		}
		share := fmt.Sprintf("%.3f", a.Share)
		if a.Above {
			share += " above"
		}
		printf(w, "%.64q\t%s\t%s\t%d\t%d in %d jobs\t%d\tlimit %d, share %d\t%g\t%s\t%d\t%d\n", a.Name, a.Running.amount, limit, a.Running.Tasks,
			a.Waiting.Tasks, a.Waiting.Jobs, a.Waiting.Blocked, a.Refused.Limit, a.Refused.Share, a.Weight, share, a.Keys, a.Since)
	}
	return errFailed.Wrap(w.Flush())
}
