// Command arbutusstep runs a node of the mesh, its stand-ins and the operator's commands.
package main

import (
	"os"

	"arbutusstep.example/arbutusstep/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
