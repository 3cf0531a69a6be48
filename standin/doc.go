// Package standin provides simulated endpoints for tests and for the example deployments: a
// model engine, a plain service, and a group of engine ranks that run in lockstep. They do not
// run a model.
//
// The engine implements /v1/completions and /v1/chat/completions of the OpenAI API, and the API
// of package engineapi.
//
// A RankGroup turns the engines of one process into the ranks of a group. The ranks request
// steps from their agents and record which expert map each rank used in each step.
//
// Faults are injected by POST /standin/faults with a Faults body, on engines and services
// alike.
package standin
