// Command review2 runs the cases of the second review: small deployments of the system's own
// program as separate processes, on loopback addresses, with stand-ins of the platform's store,
// of backends and of clients.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name. Each returns what it saw of the rule being broken; nothing if
// the rule held. trouble is false if the disruption is to be left out.
var cases = map[string]func(record string, trouble bool) (broken []string){
	"keys": keysCase, "path": pathCase, "rollout": rolloutCase, "settings": settingsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: review2 CASE RECORD")
	}
	defer func() {
		if value := recover(); value != nil {
			cannotRun("%v", value)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken := cases[os.Args[1]](os.Args[2], trouble)
	for i, b := range broken {
		if i == 10 {
			fmt.Printf("and %d more\n", len(broken)-i)
			break
		}
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

// cannotRun ends a case that could not run. The processes that it started end with it.
func cannotRun(format string, a ...any) {
	fmt.Printf("cannot run: "+format+"\n", a...)
	os.Exit(exitCannotRun)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
