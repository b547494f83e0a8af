package haproxy

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteKeywords writes the page docs/haproxy-keywords.md, which describes how each keyword is imported. The rows of unsupported
// sections, unsupported keywords and server options come from the tables that the importer itself uses.
func WriteKeywords(out io.Writer) {
	fmt.Fprint(out, `# What becomes of HAProxy's keywords

Written by `+"`gingerfork import haproxy --keywords`"+`; a test holds it to the program. docs/haproxy-import.md tells the rest.

## Sections

| section | what becomes of it |
| --- | --- |
| backend, listen | a pool |
| defaults | holds for the proxies that follow or name it |
| frontend | told with a difference: our proxies are the front ends |
`)
	for _, kind := range sectionKinds {
		if !isProxy(kind) {
			fmt.Fprintf(out, "| %s | not carried: it concerns HAProxy itself |\n", kind)
		}
	}
	fmt.Fprint(out, `
## Words of proxy sections

| keyword | what becomes of it | why |
| --- | --- | --- |
| server, server-template | carried | name, address and options; a template's servers share its one address |
| default-server | carried | for the servers below it, and those of proxies that follow its defaults |
| option redispatch, option allbackups | carried | a second try always goes to another server; all backups come in where only they are left |
| balance roundrobin, static-rr | with a difference | pick even: round the servers of the proxy's own arc |
| balance leastconn, random | with a difference | pick pair: the less busy of two drawn by weight |
| balance, others | with a difference | pick lottery: nothing is bound to a server by a key |
| hash-type | with a difference | a ring of hashed servers for each proxy; keys are not hashed |
| timeout server | with a difference | a deadline, never a soft deadline |
| timeout, others | not carried | our proxies' own |
| retries | 0: carried; else with a difference | tries once; else one more after proof that an RPC never ran, at another server |
| retry-on | by its causes | none and conn-failure: carried; 429, 503, all-retryable-errors: with a difference (after proof only); others not: the RPC may have run |
| mode | with a difference | our proxies know RPCs of methods |
| acl, use_backend, default_backend | carried where exact | routes to pools and their methods on path, method and single-valued headers (whole, beginning, end, part, found; -i); from the first use_backend that is not exact on none of its frontend is, as order counts; a backend or ACL that does not exist is refused |
| use-server | not carried | a table is a pool's, none is bound to one server; its ACLs are checked |
| stick-table | not carried | nothing is bound to a server; its size and times are checked |
| bind | not carried | our proxies' own listeners |
| maxconn, fullconn, rate-limit | not carried | levels are shares of a method's RPCs, not counts of connections |
| option, others | not carried | no like here |
`)
	for _, keyword := range slices.Sorted(maps.Keys(unsupportedKeywords)) {
		fmt.Fprintf(out, "| %s | not carried | %s |\n", keyword, unsupportedKeywords[keyword])
	}
	fmt.Fprint(out, "\n## Options of server lines\n\n| option | values | what becomes of it | why |\n| --- | --- | --- | --- |\n")
	for _, word := range slices.Sorted(maps.Keys(serverOptions)) {
		option := serverOptions[word]
		fmt.Fprintf(out, "| %s | %d | %s | %s |\n", word, option.valueCount, option.class, option.reason)
	}
}
