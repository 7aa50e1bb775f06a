// Command chervilgauge runs entry instances and the operators' client.
package main

import (
	"os"

	"chervilgauge.example/chervilgauge/cmd/chervilgauge/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr)) }
