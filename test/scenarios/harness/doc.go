// Package harness provides testscript commands for scenarios with real processes.
// They start, stop, freeze and kill daemons and stand-ins, switch faults, send
// traffic and wait for conditions.
//
// The commands are:
//
//	start NAME KIND [key=value...] [flags...]
//	shutdown NAME                    send SIGTERM and expect exit code 0
//	sigkill NAME                     send SIGKILL and wait for the exit
//	freeze NAME, thaw NAME           send SIGSTOP, SIGCONT
//	reclaim NAME|domain:D DURATION   post a notice and kill after the duration
//	cancel NAME|domain:D             withdraw the notice
//	unlist NAME                      remove an instance from the instance list
//	outage NAME on|off               start or end an outage of a stand-in
//	fault NAME JSON|clear            set faults of a stand-in, or clear all
//	stream NAME key=value...         send chat completions in the background
//	load NAME rate=R key=value...    start streams at a steady rate per second
//	unload NAME                      stop starting streams and wait for the answers
//	order NAME key=value...          send service calls in the background
//	audit NAME                       check the calls of an order against the call logs
//	expect CONDITION                 check a condition once
//	await [-for DURATION] CONDITION  wait until a condition holds, 30s by default
//
// KIND is daemon or a sub-command of standin. The keys of start are domain, region,
// pool, class and version, which are written to the instance list. The keys of stream
// are n, model, tokens, prompt, via, token, seed, whole and id. load takes the same keys
// except n and id. The keys of order are n, path, method, body, key, via and token.
//
// n is the number of requests, 1 by default. via names the process to which the
// requests are sent; without it, they are distributed over the daemons. A stream that
// is interrupted is resumed at any daemon, also with via. tokens is the length of each
// answer, 50 by default. Request i, counted from 0, has the prompt with i appended and
// the seed plus i. whole=1 requests answers that are not streamed. id sets the
// request ID. key sets the idempotency key, to which the number of the request is
// appended if n is above 1. token is the bearer token, by default that of the
// workspace in shared/config.yaml.
//
// A CONDITION is one of
//
//	stream NAME FIELD OP VALUE       total, complete, failed, refused, wrong,
//	                                 running, tokens, resumes, versions, maxgap
//	order NAME FIELD OP VALUE        total, ok, notrun, unknown, other, running
//	log NAME|* [key=value...] OP N   the number of entries in the call logs
//	stat NAME PATH OP VALUE          a field of GET /control/stats
//	get NAME URL-PATH FIELD OP VALUE a field of the JSON document at a path
//	answer NAME MODEL|/PATH OP N     the status of a one-token chat or a GET
//	versions NAME MODEL OP LIST      the versions that answer 20 one-token chats
//	exit NAME OP CODE                the exit code of a process, -1 after a signal
//
// with OP one of == != < <= > >=. A leading "!" before expect negates it.
//
// Of the fields of stream, wrong counts the tokens and unstreamed answers with
// unexpected content, tokens is the number of events that the slowest stream has
// received, and maxgap is the longest time between two events in milliseconds.
package harness
