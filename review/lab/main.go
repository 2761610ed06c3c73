package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name; each file of a case adds its own. A case returns whether
// the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){}

func main() {
	// Hosts are ended by the kernel if the thread that started them ends.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file that gets the record of the run")
	flag.Parse()
	os.Exit(run(*name, *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	l.rec.add("case %s, trouble %t", name, trouble)
	broken, err := play(l, trouble)
	time.Sleep(100 * time.Millisecond)
	switch {
	case err != nil:
		l.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		l.rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	l.rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
