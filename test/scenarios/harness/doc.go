// Package harness runs scenarios over real processes: it adds commands to
// testscript that start, stop, freeze and kill daemons and stand-ins, switch
// faults, send traffic and wait for conditions.
//
// The commands are:
//
//	start NAME KIND [key=value...] [flags...]
//	shutdown NAME                    end with SIGTERM and wait for exit code 0
//	sigkill NAME                     end with SIGKILL
//	freeze NAME, thaw NAME           SIGSTOP and SIGCONT
//	reclaim NAME|domain:D DURATION   give notice and kill after the duration
//	cancel NAME|domain:D             take the notice back
//	unlist NAME                      take an instance from the instance list
//	outage NAME on|off               switch the outage of a stand-in
//	fault NAME JSON|clear            switch faults of a stand-in, or clear all
//	stream NAME key=value...         send chat completions in the background
//	load NAME rate=R key=value...    start streams at a steady rate per second
//	unload NAME                      end the arrivals and wait for the answers
//	order NAME key=value...          send service calls in the background
//	audit NAME                       check the calls of an order against the logs
//	expect CONDITION                 check a condition now
//	await [-for DURATION] CONDITION   wait until a condition holds
//
// KIND is a sub-command of standin, or daemon. The keys of start are domain,
// region, pool, class and price, which go to the instance list. The keys of
// stream are n, model, tokens, prompt, via, token, seed, whole and id; those of
// order are n, path, method, body, key, via and token.
//
// A CONDITION is one of
//
//	stream NAME FIELD OP VALUE       total, complete, failed, refused, wrong,
//	                                 running, tokens, resumes, versions, maxgap
//	order NAME FIELD OP VALUE        total, ok, notrun, unknown, other, running
//	log NAME|* [key=value...] OP N   entries in the log of executed calls
//	stat NAME PATH OP VALUE          a field of GET /control/stats
//	get NAME URL-PATH FIELD OP VALUE a field of any JSON answer
//	answer NAME MODEL|/PATH OP N     the status of a short chat or a GET
//	versions NAME MODEL OP LIST      the versions that answer 20 short chats
//	exit NAME OP CODE                the exit code of a process
//
// with OP one of == != < <= > >=. A leading "!" before expect negates it.
package harness
