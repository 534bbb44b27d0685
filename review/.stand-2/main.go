// Command stand runs one case of the review: it starts stand-ins of the platform and
// the node processes, and checks one rule by what clients, workers and the platform see.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run
)

var cases = map[string]func(s *site, trouble bool) int{
	"lost-upkeep-answer":  lostUpkeepAnswer,
	"removed-route":       removedRoute,
	"late-order":          lateOrder,
	"lost-allowed-worker": lostAllowedWorker,
	"two-owners":          twoOwners,
	"hopeless-job":        hopelessJob,
	"overtaken-pace":      overtakenPace,
	"stopping-run":        stoppingRun,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	binary := flag.String("node", "target/carobwharf", "program under test")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	os.Exit(runCase(run, *binary, filepath.Join(*dir, "record.txt")))
}

func runCase(run func(s *site, trouble bool) int, binary, record string) (code int) {
	s := newSite(binary, record)
	defer s.close()
	defer func() {
		if p := recover(); p != nil {
			s.logf("the case couldn't run: %v", p)
			code = failed
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	s.logf("disruption: %t", trouble)
	code = run(s, trouble)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case couldn't run"}[code]
	s.logf("result: %s", verdict)
	fmt.Println(verdict)
	return code
}
