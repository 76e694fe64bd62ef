// Command platform plays the users' platform on loopback addresses, for the cases of the
// review: the metadata store, the operator, the servers and the clients. It starts the
// daemons as the deploy file says.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"
)

// caseFunc runs a case and returns what broke the rule, or an empty string.
type caseFunc func(m *mesh, trouble bool) (broken string, err error)

// longest bounds the time of a case.
const longest = 110 * time.Second

// cases holds the cases by name; each file of a case adds its own.
var cases = make(map[string]caseFunc)

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "the file that the case writes")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	f, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return 2
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	m, err := newMesh(*root, rec)
	if err != nil {
		rec.note("the case cannot run: %v", err)
		return 2
	}
	defer m.close()
	// A case that hangs could not run.
	time.AfterFunc(longest, func() {
		rec.note("the case cannot run: it takes longer than %v", longest)
		rec.close()
		m.close()
		os.Exit(2)
	})
	broken, err := f(m, *trouble)
	switch {
	case err != nil:
		rec.note("the case cannot run: %v", err)
		return 2
	case broken != "":
		rec.note("broken: %s", broken)
		return 1
	}
	rec.note("the rule held")
	return 0
}

// configRoute is a route as operators write it.
type configRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	Service    string `json:"service"`
	Kind       string `json:"kind"`
	TimeoutMs  int    `json:"timeoutMs"`
	SloMs      int    `json:"sloMs"`
	Priority   int    `json:"priority"`
	Attempts   int    `json:"attempts"`
}

// publish writes a configuration and returns the time of the store's acknowledgement.
func (m *mesh) publish(version int, services []string, routes []configRoute) time.Time {
	type object map[string]any
	var list []object
	for _, s := range services {
		list = append(list, object{"name": s, "healthPath": idPath, "maxConns": 130, "protocol": "h1", "tls": false, "warmupS": 3.0, "coldPerS": 47.0})
	}
	data, _ := json.Marshal(object{
		"version": version, "routes": routes, "services": list,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	at := m.store.put("keyed.op", "config", data)
	m.rec.note("operator writes configuration %d: %s", version, data)
	return at
}
