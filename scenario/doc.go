// Package scenario runs end-to-end tests: testscript files in testdata that start
// the real binary as separate processes, inject faults and check the guarantees
// against the execution records of the stand-in upstreams.
//
// Commands in addition to those of testscript:
//
//	ports NAME...                      set $NAME to a free 127.0.0.1:port, for each name
//	host NAME DOMAIN [section.key=value]...  write NAME.ini and set $NAME_CALLER, $NAME_ADMIN, $NAME_PEER; needs $PLATFORM
//	start NAME [-wait REGEXP] ARG...   start "sapphirehatch ARG..." as process NAME, output in NAME.log; wait up to 20s for a log line
//	terminate NAME                        SIGTERM, then require exit code 0
//	sigkill NAME / freeze NAME / thaw NAME    SIGKILL, SIGSTOP, SIGCONT
//	await NAME CODE DURATION           wait until process NAME exits with CODE
//	fault ADDRESS KIND on|off [delay=MS] [match=TEXT] [count=N] [bytes=N]
//	http METHOD URL [-H 'K: V']... [-d BODY] [-status N] [-match REGEXP] [-save VAR REGEXP]  call and print "STATUS\nBODY" to stdout; -save sets $VAR to the first group
//	until DURATION http ...            repeat until http succeeds, including -status and -match REGEXP
//	never DURATION http ...            require that http with -match does not match at any time within the duration
//	every DURATION REGEXP URL...       repeat GET until an answer of each URL has matched, all within the duration; print the time taken
//	rising REGEXP NAME...              require that the number in the first group never decreases between matching lines of NAME.log
//	until DURATION exec PROGRAM ARG... repeat until the program exits with code 0
//	loglines NAME REGEXP N             require exactly N lines of NAME.log to match
//	runs N KEY FILE...                 require exactly N executions of an idempotency key in upstream records saved from http
//	alive N NAME...                    require that exactly N of the processes still run
//	normalise IN OUT                   replace ids, addresses, times and hashes by fixed words
//	expand IN OUT                      copy a file, replacing ${NAME} by the script's variables
//	seed DEFAULT                       set $SEED to the environment variable SCENARIO_SEED, or to DEFAULT
//	mixfaults SEED DURATION hosts=NAME,... platform|services|engines=CONTROL,...  inject random faults, several at a time, then undo them
//	token NAME...                      set $NAME to a random token and $NAME_SHA256 to its hash, for each name
package scenario
