// Package operator implements lilackeelctl, the command-line tool for operators:
// the intent file format, a client of the control replicas that tolerates lost
// responses, and the commands.
//
// # Lost responses
//
// Plan, confirm and cancel requests are identified by the id of the intent, and the
// control state gives the same response to the same request. Client therefore
// retries, at another replica if necessary, until it receives a response or its time
// limit expires. If a response was lost and no retry succeeded, the error has the
// kind Unknown; running the same command again resolves it.
//
// # Exit codes
//
// The exit codes, ExitOK to ExitUnknown, are stable; scripts may rely on them.
package operator
